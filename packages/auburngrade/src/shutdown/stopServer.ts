import type { Server } from '@grpc/grpc-js';

/** Stops a server once its calls have ended; after `graceMs` cancels the calls still open. */
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
