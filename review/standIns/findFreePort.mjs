import { createServer } from 'node:net';

/** Returns a port of the loopback address that nobody listens on. */
const findFreePort = () =>
  new Promise((resolve, reject) => {
    const server = createServer();
    server.once('error', reject);
    server.listen(0, '127.0.0.1', () => {
      const { port } = server.address();
      server.close(() => resolve(port));
    });
  });

export default findFreePort;
