/* global clearInterval, setInterval, setTimeout */
import { createServer } from 'node:net';
import readLines from './readLines.mjs';

const HEARTBEAT_MS = 1_200;
const OPENING_MS = 12;
const compare = (a, b) => a.term - b.term || a.number - b.number;
const format = ({ term, number }) => `${term}.${number}`;

/**
 * The members of one service: a primary and its replicas, each with a log, slots and connections, as PROTOCOL.md
 * describes them. `plan` may change what a member does with a statement: see `onStatement`.
 */
const createService = async ({
  name,
  hosts,
  zones,
  slots,
  maxConnections,
  workMs,
  replicaLagMs,
  promoteMs,
  syncReplicas = 0,
  record,
  platform,
  onStatement = () => undefined,
  firstTerm = 1,
  firstNumber = 100,
  idPrefix = 'i',
  isRegistered = true,
  toEntry = (entry) => entry,
}) => {
  let term = firstTerm;
  let lastSignature = 0;
  const members = [];
  /** The request that each signature was given for. */
  const signatures = new Map();
  const sleep = (ms) =>
    new Promise((resolve) => {
      setTimeout(resolve, ms);
    });
  const primary = () => members.find(({ isPrimary }) => isPrimary);

  const register = (member) => {
    if (!member.isUp || !isRegistered) return;
    Object.assign(member, { sequence: member.sequence + 1 });
    const entry = {
      Service: name,
      Address: member.address,
      Zone: member.zone,
      Version: 'v1',
      Slots: slots,
      State: member.state,
      WarmupLeftMs: 0,
      DbRole: member.isPrimary ? 'primary' : 'replica',
      SeqNo: member.sequence,
      born: member.born,
    };
    platform().put(`servers/${member.id}`, toEntry(entry));
  };

  const receive = (member, position) => {
    if (compare(member.received, position) < 0) Object.assign(member, { received: position });
  };
  /** Sends a commit to the replicas; resolves when as many have received it as the service asks for. */
  const replicate = (from, position) => {
    const others = members.filter((member) => member !== from);
    const arrivals = others.map(async (member) => {
      await sleep(replicaLagMs(member));
      while (member.isDeaf) await sleep(5);
      if (!member.isUp || !from.isPrimary) return new Promise(() => {});
      receive(member, position);
      return member.id;
    });
    return syncReplicas === 0 ? undefined : Promise.any(arrivals);
  };

  const serve = (member, socket) => {
    const prepared = new Map();
    let values = new Map();
    let state = 'I';
    let isReadOnly = false;
    let written = [];
    let isStarted = false;
    let previous = Promise.resolve();

    const withSlot = async (work) => {
      while (member.busy >= slots) await sleep(1);
      Object.assign(member, { busy: member.busy + 1 });
      try {
        return await work();
      } finally {
        Object.assign(member, { busy: member.busy - 1 });
      }
    };
    const fail = (code) => {
      if (state === 'T') state = 'E';
      return [`ERROR ${code} ${member.id}`];
    };
    const complete = (id, rows) => {
      lastSignature += 1;
      const signature = `${member.id}.${lastSignature}`;
      signatures.set(signature, id);
      return [...rows.map((row) => `DATAROW ${row}`), `COMPLETE ${signature}`];
    };
    const commit = async () => {
      const items = written;
      written = [];
      if (items.length === 0) return true;
      if (!member.isPrimary) return false;
      const position = { term: member.term, number: member.received.number + 1 };
      Object.assign(member, { received: position });
      member.commits.push({ position, items });
      record('commit', { member: member.id, position: format(position), items });
      await replicate(member, position);
      return true;
    };
    const run = (id, text, notBefore) =>
      withSlot(async () => {
        const [word, ...fields] = text.split(' ');
        const mode = word === 'EXECUTE' ? prepared.get(fields[0])?.mode : word;
        if (mode === undefined) return fail('NOSTMT');
        if (state === 'E') return fail('MALFORMED');
        if (notBefore && compare(member.received, notBefore) < 0) return fail('LAGGING');
        if (mode === 'WRITE' && (isReadOnly || !member.isPrimary)) return fail('READONLY');
        record('run', { member: member.id, id, text: text.slice(0, 80) });
        const act = onStatement({ member, id, word, mode, text, state });
        if (act?.error) return fail(act.error);
        await sleep(act?.workMs ?? workMs());
        if (socket.destroyed) return [];
        const rows = mode === 'READ' ? [`row-of-${id}`] : [];
        if (mode === 'WRITE') written.push(`${id} ${text.slice(0, 80)}`);
        if (word === 'COMMIT') {
          const isDone = await commit();
          state = 'I';
          isReadOnly = false;
          if (!isDone) return fail('READONLY');
        } else if (state === 'I' && !(await commit())) {
          return fail('READONLY');
        }
        return act?.isMute ? undefined : complete(id, rows);
      });
    const demote = (newTerm) => {
      if (member.isPrimary && member.term < newTerm) Object.assign(member, { isPrimary: false });
    };
    const statusRow = () => {
      const role = member.isPrimary ? 'primary' : 'replica';
      const position = format(member.received);
      return `${role} ${member.term} ${position} 0 0 ${member.busy} ${member.sockets.size}`;
    };
    const answer = async (id, text, notBefore) => {
      const [word, ...fields] = text.split(' ');
      switch (word) {
        case 'WAITLSN': {
          const [waitTerm, number] = fields[0].split('.').map(Number);
          return answer(id, fields.slice(1).join(' '), { term: waitTerm, number });
        }
        case 'READ':
        case 'WRITE':
        case 'EXECUTE':
        case 'COMMIT':
          return run(id, text, notBefore);
        case 'BEGIN':
          if (notBefore && compare(member.received, notBefore) < 0) return fail('LAGGING');
          if (fields[0] !== 'READ' && !member.isPrimary) return fail('READONLY');
          state = 'T';
          isReadOnly = fields[0] === 'READ';
          return ['COMPLETE -'];
        case 'ROLLBACK':
          state = 'I';
          isReadOnly = false;
          written = [];
          return ['COMPLETE -'];
        case 'SET':
          values.set(fields[0], fields.slice(1).join(' '));
          return ['COMPLETE -'];
        case 'PREPARE':
          prepared.set(fields[0], { mode: fields[1], shape: fields[2] });
          return ['COMPLETE -'];
        case 'RESET':
          values = new Map();
          prepared.clear();
          return ['COMPLETE -'];
        case 'STATUS':
          return withSlot(() => [`DATAROW ${statusRow()}`, 'COMPLETE -']);
        case 'DEMOTE':
          demote(Number(fields[0]));
          return [`DATAROW ${statusRow()}`, 'COMPLETE -'];
        default:
          return fail('MALFORMED');
      }
    };
    const write = (lines) => {
      if (!socket.destroyed && member.isUp) socket.write(`${lines.join('\r\n')}\r\n`);
    };
    const start = async ([service, , id]) => {
      if (service !== name || (id && id !== member.id)) {
        write([`ERROR MISROUTED ${member.id}`]);
        socket.end();
      } else if (member.sockets.size > maxConnections) {
        write([`ERROR CONNLIMIT ${member.id}`]);
        socket.end();
      } else {
        await withSlot(() => sleep(OPENING_MS));
        isStarted = true;
        write([`READY I ${format(member.received)}`]);
      }
    };
    const onLine = async (line) => {
      const [word, ...fields] = line.split(' ');
      if (word === 'TERMINATE') socket.end();
      else if (word === 'STARTUP') await start(fields);
      else if (isStarted) {
        const lines = await answer(fields[0], fields.slice(1).join(' '));
        if (lines) write([...lines, `READY ${state} ${format(member.received)}`]);
      }
    };
    member.sockets.add(socket);
    socket.on('error', () => socket.destroy());
    socket.on('close', () => {
      member.sockets.delete(socket);
    });
    readLines(socket, (line) => {
      previous = previous.then(() => (socket.destroyed ? undefined : onLine(line)));
    });
  };

  for (const [index, host] of hosts.entries()) {
    const member = {
      id: `${idPrefix}-${name}-${index + 1}`,
      zone: zones[index % zones.length],
      state: 'ready',
      isPrimary: index === 0,
      isUp: true,
      isDeaf: false,
      term,
      received: { term, number: firstNumber },
      commits: [],
      busy: 0,
      sequence: 0,
      born: Date.now(),
      sockets: new Set(),
    };
    const server = createServer({ noDelay: true }, (socket) => serve(member, socket));
    await new Promise((resolve) => {
      server.listen(0, host, resolve);
    });
    Object.assign(member, { server, address: `${host}:${server.address().port}` });
    members.push(member);
  }
  const timer = setInterval(() => members.forEach(register), HEARTBEAT_MS);

  return {
    name,
    members,
    signatures,
    primary,
    register: () => members.forEach(register),
    /** Makes the member lead the next term after the usual time; false if it isn't running. */
    promote: (id) => {
      const chosen = members.find((member) => member.id === id);
      if (!chosen?.isUp) return false;
      if (chosen.isPrimary && chosen === members.find(({ isPrimary }) => isPrimary)) return true;
      setTimeout(() => {
        term += 1;
        record('promoted', { id, term, position: format(chosen.received) });
        const former = primary();
        Object.assign(chosen, { isPrimary: true, term });
        members
          .filter((member) => member !== chosen && member !== former)
          .forEach((member) => Object.assign(member, { term, received: { ...chosen.received } }));
        if (former) {
          setTimeout(
            () => Object.assign(former, { isPrimary: false, term, received: chosen.received }),
            1_000,
          );
        }
        register(chosen);
      }, promoteMs);
      return true;
    },
    close: () => {
      clearInterval(timer);
      members.forEach(({ server, sockets }) => {
        sockets.forEach((socket) => socket.destroy());
        server.close();
      });
    },
  };
};

export default createService;
