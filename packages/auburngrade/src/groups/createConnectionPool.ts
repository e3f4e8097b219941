import { notRun } from '@auburngrade/coordination';
import { EndpointError, type Endpoint, type EndpointConnection } from '@auburngrade/endpoint';
import type PooledConnection from './pooledConnection';

interface Waiter {
  give(connection: EndpointConnection): void;
}

const CONNECT_TIMEOUT_MS = 1_000;

/** A bounded pool of connections to one endpoint, first come first served. */
const createConnectionPool = (endpoint: Endpoint, maxConnections: number, nowMs: () => number) => {
  const idle: EndpointConnection[] = [];
  const waiters: Waiter[] = [];
  let openCount = 0;
  let isClosed = false;

  const drop = (connection: EndpointConnection): void => {
    openCount -= 1;
    connection.close();
  };

  const release = (connection: EndpointConnection): void => {
    if (isClosed || !connection.isUsable()) {
      drop(connection);
      return;
    }
    const waiter = waiters.shift();
    if (waiter) waiter.give(connection);
    else idle.push(connection);
  };

  const pooled = (connection: EndpointConnection): PooledConnection => {
    let isReleased = false;
    return {
      connection,
      release: () => {
        if (isReleased) return;
        isReleased = true;
        release(connection);
      },
    };
  };

  const takeIdle = (): EndpointConnection | undefined => {
    const connection = idle.pop();
    if (!connection) return undefined;
    if (connection.isUsable()) return connection;
    drop(connection);
    return takeIdle();
  };

  const open = async (deadlineAtMs: number): Promise<EndpointConnection> => {
    openCount += 1;
    try {
      const timeoutMs = Math.min(CONNECT_TIMEOUT_MS, deadlineAtMs - nowMs());
      return await endpoint.connect(timeoutMs);
    } catch (error) {
      openCount -= 1;
      const message = error instanceof EndpointError ? error.message : String(error);
      throw notRun('noConnection', message);
    }
  };

  const wait = (deadlineAtMs: number): Promise<EndpointConnection> =>
    new Promise((resolve, reject) => {
      const waiter: Waiter = { give: resolve };
      const timer = setTimeout(
        () => {
          waiters.splice(waiters.indexOf(waiter), 1);
          reject(notRun('queueTimeout', 'no connection became free before the deadline'));
        },
        Math.max(0, deadlineAtMs - nowMs()),
      );
      waiter.give = (connection) => {
        clearTimeout(timer);
        resolve(connection);
      };
      waiters.push(waiter);
    });

  return {
    /** @throws RefusalError `noConnection` or `queueTimeout`. */
    acquire: async (
      _account: string | undefined,
      deadlineAtMs: number,
    ): Promise<PooledConnection> => {
      const ready = takeIdle();
      if (ready) return pooled(ready);
      if (openCount < maxConnections) return pooled(await open(deadlineAtMs));
      return pooled(await wait(deadlineAtMs));
    },
    /** Closes the idle connections now and the others when they are given back. */
    close: (): void => {
      isClosed = true;
      idle.splice(0).forEach(drop);
    },
  };
};

export default createConnectionPool;
