import { createServer } from 'node:net';

/** Finds a port of the loopback address that nothing listens on. */
const findFreePort = (): Promise<number> =>
  new Promise((resolve) => {
    const server = createServer().listen(0, '127.0.0.1', () => {
      const address = server.address();
      server.close(() => resolve(typeof address === 'object' && address ? address.port : 0));
    });
  });

export default findFreePort;
