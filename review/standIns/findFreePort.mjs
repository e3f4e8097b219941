import { createServer } from 'node:net';

/** Below the range from which the system takes ports for outgoing connections. */
const FIRST_PORT = 20_000;
const PORT_COUNT = 10_000;

const isFree = (port) =>
  new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)));
  });

/** Returns a port of the loopback address that nobody listens on, and that no connection is given. */
const findFreePort = async () => {
  for (;;) {
    const port = FIRST_PORT + Math.floor(Math.random() * PORT_COUNT);
    if (await isFree(port)) return port;
  }
};

export default findFreePort;
