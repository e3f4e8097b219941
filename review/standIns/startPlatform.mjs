import { Buffer } from 'node:buffer';
import { createServer } from 'node:http';
import { clearTimeout, setTimeout } from 'node:timers';
import { URL } from 'node:url';

const HOST = '127.0.0.1';
const ANSWER_DELAY_MS = 4;

/** The platform: its store, and the call that promotes a member (`POST /failover`). */
const startPlatform = async ({ record, promote }) => {
  const items = new Map();
  const history = [];
  const leases = new Map();
  const watches = new Set();
  let revision = 1;
  let lastLease = 0;

  const change = (writes, removedKeys = []) => {
    revision += 1;
    writes.forEach(({ Key, Value, values, Lease = 0 }) => {
      const Created = items.get(Key)?.Created ?? revision;
      const item = { Key, Value, values, Revision: revision, Created, Lease };
      items.set(Key, item);
      history.push(item);
    });
    removedKeys
      .filter((key) => items.delete(key))
      .forEach((Key) => history.push({ Key, Revision: revision, Deleted: true }));
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
      const hooks = {};
      const check = (isTimedOut = false) => {
        const events = history.filter((e) => e.Revision > after && e.Key.startsWith(prefix));
        if (events.length === 0 && !isTimedOut) return;
        clearTimeout(hooks.timer);
        watches.delete(check);
        resolve({ status: 200, body: { events, CurrentRev: revision } });
      };
      watches.add(check);
      hooks.timer = setTimeout(() => check(true), waitMs);
      check();
    });
  const commit = ({ Precondition = [], Writes = [], Remove = [] }) => {
    if (Writes.some(({ Lease }) => Lease && !leases.has(Lease))) return { status: 404, body: {} };
    const isMet = Precondition.every((row) => (items.get(row.Key)?.Revision ?? 0) === row.Revision);
    if (!isMet) {
      const current = Precondition.flatMap(({ Key }) => items.get(Key) ?? []);
      return { status: 412, body: { items: current } };
    }
    return { status: 200, body: { Revision: change(Writes, Remove) } };
  };
  const answer = async (request, url, body) => {
    const [call, id] = url.pathname.replace('/auburngrade/', '').split('/');
    const query = (name) => url.searchParams.get(name) ?? '';
    switch (call) {
      case 'kv-key': {
        const item = items.get(query('Key'));
        return { status: item ? 200 : 404, body: { ...item, CurrentRev: revision } };
      }
      case 'kv-range': {
        const found = [...items.values()]
          .filter(({ Key }) => Key.startsWith(query('Prefix')) && Key > query('after'))
          .sort((a, b) => (a.Key < b.Key ? -1 : 1));
        return { status: 200, body: { items: found, HasMore: false, CurrentRev: revision } };
      }
      case 'kv-watch':
        return watch(query('Prefix'), Number(query('after')), Number(query('WaitMs')));
      case 'kv-txn':
        return commit(body);
      case 'kv-lease': {
        lastLease += 1;
        holdLease(lastLease, body.TtlMs);
        return { status: 200, body: { Lease: lastLease, TtlMs: body.TtlMs } };
      }
      case 'kv-keep': {
        const lease = leases.get(Number(id));
        if (lease) holdLease(Number(id), lease.ttlMs);
        return { status: lease ? 200 : 404, body: lease ? { TtlMs: lease.ttlMs } : {} };
      }
      case 'kv-lease-end':
        endLease(Number(id));
        return { status: 200, body: {} };
      default: {
        const status = promote(body.Service, body.Id);
        const fence = request.headers['x-auburngrade-fencing-token'];
        const holder = request.headers['x-auburngrade-duty-holder'];
        record('platform.failover', { ...body, holder, fence, status });
        return { status, body: {} };
      }
    }
  };

  /** Members' entries state another address to the machines on the other side of a partition. */
  const toSeen = (value, side) =>
    JSON.parse(
      JSON.stringify(value, (name, field) =>
        Array.isArray(field?.values)
          ? { ...field, Value: field.values[side], values: undefined }
          : field,
      ),
    );
  const listen = async (side) => {
    const server = createServer((request, response) => {
      const chunks = [];
      request.on('data', (chunk) => chunks.push(chunk));
      request.on('end', () => {
        setTimeout(async () => {
          const url = new URL(request.url, 'http://platform');
          const text = Buffer.concat(chunks).toString();
          const { status, body } = await answer(request, url, text === '' ? {} : JSON.parse(text));
          response.writeHead(status, { 'Content-Type': 'application/json' });
          response.end(JSON.stringify(toSeen(body, side)));
        }, ANSWER_DELAY_MS);
      });
    });
    await new Promise((resolve) => {
      server.listen(0, HOST, resolve);
    });
    return server.address().port;
  };
  const ports = [await listen(0), await listen(1)];
  const encode = (value) => Buffer.from(JSON.stringify(value)).toString('base64');
  return {
    address: `${HOST}:${ports[0]}`,
    ports,
    /** Writes a value; `toValue` may depend on the side of the reader. */
    put: (key, toValue) => {
      const values = [0, 1].map((side) =>
        encode(typeof toValue === 'function' ? toValue(side) : toValue),
      );
      return change([{ Key: key, Value: values[0], values }]);
    },
    remove: (key) => change([], [key]),
    read: (key) => {
      const item = items.get(key);
      return item && JSON.parse(Buffer.from(item.Value, 'base64').toString());
    },
  };
};

export default startPlatform;
