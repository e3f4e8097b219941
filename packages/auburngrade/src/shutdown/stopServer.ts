import type { Server } from '@grpc/grpc-js';

/** Closes a server once its calls have ended, or after `graceMs` whatever is still open. */
const stopServer = (server: Server, graceMs: number): Promise<void> =>
  new Promise((resolve) => {
    const timer = setTimeout(() => {
      server.forceShutdown();
      resolve();
    }, graceMs);
    server.tryShutdown(() => {
      clearTimeout(timer);
      resolve();
    });
  });

export default stopServer;
