/* global Buffer, URL, clearTimeout, setTimeout */
import { createServer } from 'node:http';

const MIN_ANSWER_MS = 3;
/** How long the store keeps a connection that is not used. */
const KEEP_ALIVE_MS = 120_000;
const NOT_FOUND = { status: 404, body: {} };

/** The platform's store and its failover call, as a sound platform serves them. */
const startPlatform = async ({ host, promote, record }) => {
  const items = new Map();
  const leases = new Map();
  const watches = new Set();
  const history = [];
  let revision = 1;
  let lastLease = 0;

  const change = (writes, removed) => {
    revision += 1;
    for (const { Key, Value, Lease = 0 } of writes) {
      const Created = items.get(Key)?.Created ?? revision;
      const item = { Key, Value, Revision: revision, Created, Lease };
      items.set(Key, item);
      history.push(item);
    }
    for (const Key of removed) {
      if (items.delete(Key)) history.push({ Key, Revision: revision, Deleted: true });
    }
    [...watches].forEach((check) => check());
    return revision;
  };
  const endLease = (id) => {
    clearTimeout(leases.get(id)?.timer);
    if (!leases.delete(id)) return;
    const keys = [...items.values()].filter(({ Lease }) => Lease === id).map(({ Key }) => Key);
    if (keys.length > 0) change([], keys);
  };
  const holdLease = (id, ttlMs) => {
    clearTimeout(leases.get(id)?.timer);
    leases.set(id, { ttlMs, timer: setTimeout(() => endLease(id), ttlMs) });
  };
  const watch = (prefix, after, waitMs) =>
    new Promise((resolve) => {
      let timer;
      const check = (isTimedOut = false) => {
        const events = history.filter(
          ({ Key, Revision }) => Revision > after && Key.startsWith(prefix),
        );
        if (events.length === 0 && !isTimedOut) return;
        clearTimeout(timer);
        watches.delete(check);
        resolve(events);
      };
      watches.add(check);
      timer = setTimeout(() => check(true), waitMs);
      check();
    });
  const commit = ({ Precondition = [], Writes = [], Remove = [] }) => {
    if (Writes.some(({ Lease }) => Lease && !leases.has(Lease))) return NOT_FOUND;
    if (Precondition.some(({ Key, Revision }) => (items.get(Key)?.Revision ?? 0) !== Revision)) {
      const current = Precondition.flatMap(({ Key }) => items.get(Key) ?? []);
      return { status: 412, body: { items: current } };
    }
    return { status: 200, body: { Revision: change(Writes, Remove) } };
  };
  const grantLease = (ttlMs) => {
    lastLease += 1;
    holdLease(lastLease, ttlMs);
    return { Lease: lastLease, TtlMs: ttlMs };
  };
  const failOver = ({ Service, Id }, headers) => {
    const isAccepted = promote(Service, Id);
    record('failover', {
      Service,
      Id,
      holder: headers['x-auburngrade-duty-holder'],
      token: headers['x-auburngrade-fencing-token'],
      isAccepted,
    });
    return { status: isAccepted ? 200 : 409, body: {} };
  };
  const answer = async (url, body, headers) => {
    const [call, id] = url.pathname.replace('/auburngrade/', '').split('/');
    const query = (name) => url.searchParams.get(name) ?? '';
    switch (call) {
      case 'kv-key': {
        const item = items.get(query('Key'));
        return item ? { status: 200, body: { ...item, CurrentRev: revision } } : NOT_FOUND;
      }
      case 'kv-range': {
        const found = [...items.values()]
          .filter(({ Key }) => Key.startsWith(query('Prefix')) && Key > query('after'))
          .sort((a, b) => (a.Key < b.Key ? -1 : 1));
        return { status: 200, body: { items: found, HasMore: false, CurrentRev: revision } };
      }
      case 'kv-watch': {
        const events = await watch(
          query('Prefix'),
          Number(query('after')),
          Number(query('WaitMs')),
        );
        return { status: 200, body: { events, CurrentRev: revision } };
      }
      case 'kv-txn':
        return commit(body);
      case 'kv-lease':
        return { status: 200, body: grantLease(body.TtlMs) };
      case 'kv-keep': {
        const lease = leases.get(Number(id));
        if (!lease) return NOT_FOUND;
        holdLease(Number(id), lease.ttlMs);
        return { status: 200, body: {} };
      }
      case 'kv-lease-end':
        endLease(Number(id));
        return { status: 200, body: {} };
      default:
        return failOver(body, headers);
    }
  };
  const server = createServer((request, response) => {
    const chunks = [];
    request.on('data', (chunk) => chunks.push(chunk));
    request.on('end', () => {
      setTimeout(async () => {
        const text = Buffer.concat(chunks).toString();
        const url = new URL(request.url, 'http://platform');
        const { status, body } = await answer(url, text ? JSON.parse(text) : {}, request.headers);
        response.writeHead(status, { 'Content-Type': 'application/json' });
        response.end(JSON.stringify(body));
      }, MIN_ANSWER_MS);
    });
  });
  server.keepAliveTimeout = KEEP_ALIVE_MS;
  await new Promise((resolve) => {
    server.listen(0, host, resolve);
  });
  return {
    address: `${host}:${server.address().port}`,
    /** Writes as the operator or a member does; returns the revision. */
    put: (key, value) =>
      change([{ Key: key, Value: Buffer.from(JSON.stringify(value)).toString('base64') }], []),
    remove: (key) => change([], [key]),
    /** Keys and values under a prefix, for the record. */
    list: (prefix) =>
      [...items.values()]
        .filter(({ Key }) => Key.startsWith(prefix))
        .map(({ Key, Value }) => [Key, Buffer.from(Value, 'base64').toString()]),
    close: () => {
      leases.forEach(({ timer }) => clearTimeout(timer));
      server.closeAllConnections();
      server.close();
    },
  };
};

export default startPlatform;
