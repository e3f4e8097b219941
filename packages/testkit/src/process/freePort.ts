import { createServer } from 'node:net';

/** Below the range from which the system takes ports of outgoing connections and of port 0. */
const LOWEST_PORT = 12_000;
const HIGHEST_PORT = 32_000;

const given = new Set<number>();

const isFree = (port: number): Promise<boolean> =>
  new Promise((resolve) => {
    const server = createServer();
    server.on('error', () => resolve(false));
    server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)));
  });

/** Finds a TCP port of the loopback address that nothing listens on. */
const freePort = async (): Promise<number> => {
  const port = LOWEST_PORT + Math.floor(Math.random() * (HIGHEST_PORT - LOWEST_PORT));
  if (given.has(port)) return freePort();
  given.add(port);
  return (await isFree(port)) ? port : freePort();
};

export default freePort;
