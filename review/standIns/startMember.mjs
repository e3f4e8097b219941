import { createServer } from 'node:net';
import { performance } from 'node:perf_hooks';
import createLineReader from './createLineReader.mjs';
import sleep from './sleep.mjs';

const HOST = '127.0.0.1';
const SLOTS = 3;
const MAX_WAITING = 24;
const OPEN_MS = 12;
const STATUS_MS = 0.5;
const COMMIT_POLL_MS = 2;
/** A connection that is broken off by a slot that is not free. */
const BUSY = 'ERROR BUSY';

const splitFirst = (text) => {
  const blank = text.indexOf(' ');
  return blank < 0 ? [text, ''] : [text.slice(0, blank), text.slice(blank + 1)];
};
const parsePosition = (text) => text.split('.').map(Number);
const isBefore = ([aTerm, aNumber], [bTerm, bNumber]) =>
  aTerm < bTerm || (aTerm === bTerm && aNumber < bNumber);

/** One member of a service: the wire protocol, its slots, and its log. `service` decides who leads. */
const startMember = async ({ id, service, record, readMs, commitTimeoutMs, port = 0 }) => {
  const log = [];
  const sockets = new Set();
  const waiting = [];
  let busySlots = 0;
  let lastSignature = 0;

  const member = {
    id,
    log,
    term: 0,
    isAlive: true,
    isLeader: false,
    /** Whether it receives nothing at present. */
    isDeaf: false,
  };
  const position = () => {
    const last = log.at(-1);
    return last ? [last.term, log.length] : [1, 0];
  };
  const positionText = () => position().join('.');
  member.position = position;

  const takeSlot = async () => {
    if (busySlots >= SLOTS) {
      if (waiting.length >= MAX_WAITING) return false;
      await new Promise((resolve) => {
        waiting.push(resolve);
      });
      return true;
    }
    busySlots += 1;
    return true;
  };
  const freeSlot = () => {
    const next = waiting.shift();
    if (next) next();
    else busySlots -= 1;
  };

  const serve = (socket) => {
    const shapes = new Map();
    let state = 'I';
    let written = [];
    let isReadOnly = false;
    let isBegunAsPrimary = false;
    let previous = Promise.resolve();

    const fail = (code) => {
      if (state === 'T') state = 'E';
      return `ERROR ${code} ${id}`;
    };
    const findValue = (item) =>
      [...log.flatMap(({ writes }) => writes), ...written].findLast((write) => write.item === item)
        ?.data;
    /** Commits what was written; resolves with whether the commit was acknowledged in time. */
    const commit = async (requestId) => {
      const entry = { term: member.term, requestId, writes: written };
      log.push(entry);
      written = [];
      const number = log.length;
      record('member.committed', { member: id, request: requestId, position: positionText() });
      service.replicate();
      const untilMs = performance.now() + commitTimeoutMs;
      while (!service.isReceived(id, entry, number)) {
        if (performance.now() > untilMs) return false;
        await sleep(COMMIT_POLL_MS);
      }
      return true;
    };
    const sign = (requestId) => {
      lastSignature += 1;
      return `COMPLETE ${id}.${requestId}.${lastSignature}`;
    };
    const run = async (requestId, text) => {
      if (state === 'E') return fail('MALFORMED');
      const [word, rest] = splitFirst(text);
      const [name, tail] = splitFirst(rest);
      const shape = word === 'EXECUTE' ? shapes.get(name) : undefined;
      if (word === 'EXECUTE' && !shape) return fail('NOSTMT');
      const mode = shape?.mode ?? word;
      const [item, data] = word === 'EXECUTE' ? splitFirst(tail) : [name, tail];
      const isPlain = state === 'I' ? mode === 'WRITE' : !isReadOnly;
      if (isPlain && !service.isPrimary(id) && (state === 'I' || isBegunAsPrimary))
        return fail('READONLY');
      if (!(await takeSlot())) return BUSY;
      await sleep(mode === 'COMMIT' ? 1 : readMs);
      service.runs.push({ member: id, requestId, text });
      service.onRun(member, requestId, mode);
      record('member.ran', { member: id, request: requestId, text });
      try {
        if (mode === 'READ') {
          const value = findValue(item);
          const rows = service.loadedRows.get(item) ?? (value === undefined ? [] : [value]);
          return `${rows.map((row) => `DATAROW ${row}\r\n`).join('')}${sign(requestId)}`;
        }
        if (mode === 'WRITE') written.push({ item, data });
        if (mode === 'COMMIT' || state === 'I') {
          state = 'I';
          if (written.length > 0 && !(await commit(requestId))) return `ERROR TIMEOUT ${id}`;
        }
        return sign(requestId);
      } finally {
        freeSlot();
      }
    };
    const answer = async (requestId, text) => {
      const [word, rest] = splitFirst(text);
      switch (word) {
        case 'WAITLSN': {
          const [wanted, tail] = splitFirst(rest);
          if (isBefore(position(), parsePosition(wanted))) return fail('LAGGING');
          return answer(requestId, tail);
        }
        case 'READ':
        case 'WRITE':
        case 'EXECUTE':
        case 'COMMIT':
          return run(requestId, text);
        case 'BEGIN':
          if (rest !== 'READ' && !service.isPrimary(id)) return fail('READONLY');
          state = 'T';
          isReadOnly = rest === 'READ';
          isBegunAsPrimary = service.isPrimary(id);
          return 'COMPLETE -';
        case 'ROLLBACK':
          state = 'I';
          written = [];
          return 'COMPLETE -';
        case 'PREPARE': {
          const [name, tail] = splitFirst(rest);
          const [mode, shape] = splitFirst(tail);
          shapes.set(name, { mode, shape });
          return 'COMPLETE -';
        }
        case 'RESET':
          shapes.clear();
          return 'COMPLETE -';
        case 'DEMOTE':
        case 'STATUS': {
          if (!(await takeSlot())) return BUSY;
          await sleep(STATUS_MS);
          freeSlot();
          if (word === 'DEMOTE') service.demote(id, Number(rest));
          const role = service.isPrimary(id) ? 'primary' : 'replica';
          const held = member.term;
          const row = [role, held, positionText(), held, 0, busySlots, sockets.size].join(' ');
          return `DATAROW ${row}\r\nCOMPLETE -`;
        }
        default:
          return 'COMPLETE -';
      }
    };
    const open = async (rest) => {
      const [name, who] = splitFirst(rest);
      const [, expectedId] = splitFirst(who);
      if (name !== service.name || (expectedId !== '' && expectedId !== id)) {
        socket.end(`ERROR MISROUTED ${id}\r\n`);
        return;
      }
      if (!(await takeSlot())) {
        socket.end(`${BUSY} ${id}\r\n`);
        return;
      }
      await sleep(OPEN_MS);
      freeSlot();
      if (!socket.destroyed) socket.write(`READY I ${positionText()}\r\n`);
    };
    const readLine = createLineReader((line) => {
      const [word, rest] = splitFirst(line);
      previous = previous.then(async () => {
        if (socket.destroyed) return;
        if (word === 'STARTUP') await open(rest);
        else if (word === 'TERMINATE') socket.end();
        else if (word === 'QUERY') {
          const [requestId, text] = splitFirst(rest);
          const reply = await answer(requestId, text);
          if (!socket.destroyed) socket.write(`${reply}\r\nREADY ${state} ${positionText()}\r\n`);
        }
      });
    });
    sockets.add(socket);
    socket.on('data', readLine);
    socket.on('error', () => socket.destroy());
    socket.on('close', () => {
      written = [];
      sockets.delete(socket);
    });
  };

  const server = createServer({ noDelay: true }, serve);
  await new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, HOST, resolve);
  });
  member.port = server.address().port;
  member.address = `${HOST}:${member.port}`;
  /** Its process ends: connections are reset, and the port has no listener. */
  member.stop = () => {
    member.isAlive = false;
    server.close();
    sockets.forEach((socket) => socket.resetAndDestroy());
  };
  return member;
};

export default startMember;
