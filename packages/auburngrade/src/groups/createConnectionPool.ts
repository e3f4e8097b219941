import { createFairQueue, notRun } from '@auburngrade/coordination';
import { EndpointError, type Endpoint, type EndpointConnection } from '@auburngrade/endpoint';
import type PoolOptions from './poolOptions';
import type PooledConnection from './pooledConnection';

interface Waiter {
  deadlineAtMs: number;
  give(connection: EndpointConnection, chargedMs: number): void;
  refuse(error: unknown): void;
}

interface Turn {
  item: Waiter;
  account: string;
  chargedMs: number;
}

const CONNECT_TIMEOUT_MS = 1_000;
/** Requests on routes open to all and the VM's own statements share one turn. */
const NO_ACCOUNT = '';
const DEFAULT_OPTIONS: PoolOptions = {
  order: 'fair',
  maxQueuedPerAccount: 256,
  maxQueued: 1_024,
  weightOf: () => 1,
};

/** A bounded pool of connections to one endpoint, shared fairly between client accounts. */
const createConnectionPool = (
  endpoint: Endpoint,
  maxConnections: number,
  nowMs: () => number,
  chosen: Partial<PoolOptions> = {},
) => {
  const options = { ...DEFAULT_OPTIONS, ...chosen };
  const limits = { perAccount: options.maxQueuedPerAccount, total: options.maxQueued };
  const queue = createFairQueue<Waiter>(limits, maxConnections);
  const idle: EndpointConnection[] = [];
  let openCount = 0;
  let isClosed = false;

  /** The queue's name for an account. */
  const flowOf = (account: string | undefined): string =>
    options.order === 'fair' ? (account ?? NO_ACCOUNT) : NO_ACCOUNT;

  const drop = (connection: EndpointConnection): void => {
    openCount -= 1;
    connection.close();
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

  const openFor = ({ item, account, chargedMs }: Turn, onFailure: () => void): void => {
    open(item.deadlineAtMs).then(
      (connection) => item.give(connection, chargedMs),
      (error: unknown) => {
        queue.end(account, chargedMs, 0);
        item.refuse(error);
        // A refused request leaves room for the next one.
        onFailure();
      },
    );
  };

  /** Gives connections to the requests whose turn it is, as far as there are any. */
  const serveQueue = (): void => {
    while (queue.size() > 0 && (idle.length > 0 || openCount < maxConnections)) {
      const connection = takeIdle();
      const turn = queue.next();
      if (!turn) {
        if (connection) idle.push(connection);
        return;
      }
      if (connection) turn.item.give(connection, turn.chargedMs);
      else openFor(turn, serveQueue);
    }
  };

  const release = (connection: EndpointConnection): void => {
    if (!isClosed && connection.isUsable()) idle.push(connection);
    else drop(connection);
    serveQueue();
  };

  /** Lends a connection; the account is charged for the time until it is given back. */
  const lend = (
    connection: EndpointConnection,
    flow: string,
    chargedMs: number,
  ): PooledConnection => {
    const startedAtMs = nowMs();
    let isReleased = false;
    return {
      connection,
      release: () => {
        if (isReleased) return;
        isReleased = true;
        queue.end(flow, chargedMs, nowMs() - startedAtMs);
        release(connection);
      },
    };
  };

  const hasRoom = (): boolean =>
    queue.size() === 0 && (idle.length > 0 || openCount < maxConnections);

  const wait = (flow: string, weight: number, deadlineAtMs: number): Promise<PooledConnection> =>
    new Promise((resolve, reject) => {
      const remainingMs = Math.max(0, deadlineAtMs - nowMs());
      let timer: NodeJS.Timeout | undefined;
      let isOver = false;
      const waiter: Waiter = {
        deadlineAtMs,
        give: (connection, chargedMs) => {
          clearTimeout(timer);
          const lent = lend(connection, flow, chargedMs);
          if (isOver) lent.release();
          else resolve(lent);
          isOver = true;
        },
        refuse: (error) => {
          clearTimeout(timer);
          isOver = true;
          reject(error);
        },
      };
      const refusal = queue.offer(waiter, flow, weight, hasRoom() ? Infinity : remainingMs);
      if (refusal) {
        const message = 'the wait for a connection would be too long';
        reject(notRun(refusal.code, message, refusal.retryAfterMs));
        return;
      }
      timer = setTimeout(() => {
        queue.remove(waiter, flow);
        const message = 'no connection became free before the deadline';
        waiter.refuse(notRun('queueTimeout', message, Math.ceil(queue.costMs(flow))));
      }, remainingMs);
      serveQueue();
    });

  return {
    /** @throws RefusalError `noConnection`, `queueFull` or `queueTimeout`. */
    acquire: async (
      account: string | undefined,
      deadlineAtMs: number,
    ): Promise<PooledConnection> => {
      const weight = account === undefined ? 1 : options.weightOf(account);
      return wait(flowOf(account), weight, deadlineAtMs);
    },
    queued: () => queue.size(),
    /** Closes the idle connections now and the others when they are given back. */
    close: (): void => {
      isClosed = true;
      idle.splice(0).forEach(drop);
    },
  };
};

export default createConnectionPool;
