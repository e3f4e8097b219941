import { Buffer } from 'node:buffer';
import { connect } from 'node:net';
import { clearTimeout, setTimeout } from 'node:timers';
import createLineReader from './createLineReader.mjs';

const START_TIMEOUT_MS = 2_000;
const ANSWER_TIMEOUT_MS = 5_000;

/** A client's session with the system, one statement at a time; resolves with undefined if it is refused. */
const openSession = ({ vm, database, key, record }) =>
  new Promise((resolveOpen) => {
    const socket = connect({ host: vm.host, port: vm.port, noDelay: true });
    let isOpen = false;
    let isClosed = false;
    let rows = [];
    let end;
    let resolveAnswer;
    let timer;
    const settle = (answer) => {
      clearTimeout(timer);
      const resolve = resolveAnswer;
      resolveAnswer = undefined;
      resolve?.(answer);
    };
    const close = () => {
      if (isClosed) return;
      isClosed = true;
      socket.destroy();
      settle({ kind: 'closed', rows: [], state: 'I' });
      if (!isOpen) resolveOpen(undefined);
    };
    const session = {
      isOpen: () => !isClosed,
      close,
      /** Sends one message; `text` is written as it is. */
      query: (id, text) =>
        new Promise((resolve) => {
          if (isClosed) {
            resolve({ kind: 'closed', rows: [], state: 'I' });
            return;
          }
          rows = [];
          end = undefined;
          record('client.sent', { vm: vm.name, request: id, text });
          resolveAnswer = (answer) => {
            const bytes = answer.rows.reduce((sum, row) => sum + row.length, 0);
            const { kind, code, state } = answer;
            const known = bytes < 1_000 ? answer.rows : `${answer.rows.length} rows`;
            record('client.answered', { request: id, kind, code, state, rows: known, bytes });
            resolve(answer);
          };
          timer = setTimeout(close, ANSWER_TIMEOUT_MS);
          socket.write(Buffer.from(`QUERY ${id} ${text}\r\n`, 'latin1'));
        }),
    };
    const onLine = (line) => {
      const [word] = line.split(' ', 1);
      const rest = line.slice(word.length + 1);
      if (!isOpen) {
        if (word === 'READY') {
          isOpen = true;
          clearTimeout(timer);
          resolveOpen(session);
        } else close();
        return;
      }
      if (!resolveAnswer) {
        record('client.unasked', { line });
        close();
      } else if (word === 'DATAROW') rows.push(rest);
      else if (word === 'READY') {
        const [word2] = (end ?? '').split(' ', 1);
        const [code] = (end ?? '').slice(word2.length + 1).split(' ', 1);
        const kind = word2 === 'COMPLETE' ? 'complete' : 'error';
        settle({ kind, code, rows, state: rest.split(' ', 1)[0] });
      } else end = line;
    };
    socket.on('connect', () => socket.write(`STARTUP ${database} ${key}\r\n`));
    socket.on('data', createLineReader(onLine));
    socket.on('error', close);
    socket.on('close', close);
    timer = setTimeout(close, START_TIMEOUT_MS);
  });

export default openSession;
