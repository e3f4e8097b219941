import { createServer, type AddressInfo } from 'node:net';

const given = new Set<number>();

/** Finds a TCP port of the loopback address that nothing listens on. */
const freePort = (): Promise<number> =>
  new Promise((resolve, reject) => {
    const server = createServer();
    server.on('error', reject);
    server.listen(0, '127.0.0.1', () => {
      const { port } = server.address() as AddressInfo;
      server.close(() => {
        if (given.has(port)) {
          freePort().then(resolve, reject);
          return;
        }
        given.add(port);
        resolve(port);
      });
    });
  });

export default freePort;
