import { createServer } from 'node:net';

/** Below the range from which the system takes the ports of outgoing connections. */
const FIRST_PORT = 10_000;
const LAST_PORT = 32_000;

const given = new Set<number>();

const isFree = (port: number): Promise<boolean> =>
  new Promise((resolve) => {
    const server = createServer();
    server.on('error', () => resolve(false));
    server.listen(port, '127.0.0.1', () => {
      server.close(() => resolve(true));
    });
  });

/** Finds a TCP port of the loopback address that nothing listens on and no connection is given. */
const freePort = async (): Promise<number> => {
  for (;;) {
    const port = FIRST_PORT + Math.floor(Math.random() * (LAST_PORT - FIRST_PORT));
    if (!given.has(port) && (await isFree(port))) {
      given.add(port);
      return port;
    }
  }
};

export default freePort;
