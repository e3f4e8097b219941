import { createServer } from 'node:net';
import process from 'node:process';

/** Below the range from which the system takes ports for outgoing connections. */
const FIRST_PORT = 20_000;
const PORT_COUNT = 10_000;
const PORTS_PER_PROCESS = 40;

let lastPort = FIRST_PORT + ((process.pid * PORTS_PER_PROCESS) % PORT_COUNT);

const isFree = (port) =>
  new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)));
  });

/** Returns a port of the loopback address that nobody listens on, another one at each call. */
const findFreePort = async () => {
  do lastPort += 1;
  while (!(await isFree(lastPort)));
  return lastPort;
};

export default findFreePort;
