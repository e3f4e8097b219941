import { connect } from 'node:net';
import readLines from './readLines.mjs';

/** Opens a client's session; `query` resolves with the rows, the code of an error, the state, or that it broke. */
const openClient = ({ address, database, key }) => {
  const [host, port] = address.split(':');
  const socket = connect({ host, port: Number(port), noDelay: true });
  const waiting = [];
  let answer = { rows: [] };
  let isClosed = false;
  const expect = () =>
    new Promise((resolve) => {
      if (isClosed) resolve({ rows: [], code: 'BROKEN', state: '-' });
      else waiting.push(resolve);
    });
  const started = expect();
  socket.write(`STARTUP ${database} ${key}\r\n`);
  const close = () => {
    isClosed = true;
    socket.destroy();
    waiting.splice(0).forEach((resolve) => resolve({ rows: [], code: 'BROKEN', state: '-' }));
  };
  socket.on('error', close);
  socket.on('close', close);
  readLines(socket, (line) => {
    const [word, ...fields] = line.split(' ');
    if (word === 'DATAROW') answer.rows.push(fields.join(' '));
    else if (word === 'COMPLETE') answer.signature = fields.join(' ');
    else if (word === 'ERROR') {
      [answer.code] = fields;
      answer.message = fields.slice(1).join(' ');
      // An error that answers no statement: the client closes.
      if (waiting.length === 0) close();
    } else if (word === 'READY') {
      const complete = { ...answer, state: fields[0], position: fields[1] };
      answer = { rows: [] };
      waiting.shift()?.(complete);
    }
  });
  return {
    started,
    isOpen: () => !isClosed,
    query: (id, text) => {
      const answered = expect();
      if (!isClosed) socket.write(`QUERY ${id} ${text}\r\n`);
      return answered;
    },
    close: () => {
      if (!isClosed) socket.end('TERMINATE\r\n');
    },
  };
};

export default openClient;
