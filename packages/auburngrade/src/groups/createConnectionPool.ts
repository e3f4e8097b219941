import { createFairQueue, notRun } from '@auburngrade/coordination';
import { EndpointError, type Endpoint, type EndpointConnection } from '@auburngrade/endpoint';
import type LentConnection from './lentConnection';
import type PoolOptions from './poolOptions';

interface Waiter {
  offeredAtMs: number;
  timeoutMs: number;
  give(connection: EndpointConnection, chargedMs: number): void;
  refuse(error: unknown): void;
}

interface Turn {
  item: Waiter;
  account: string;
  chargedMs: number;
}

/** A statement may take longer than the average of its account by this factor before it is cut. */
const SERVICE_TIME_FACTOR = 3;
/** Bounds what is kept for the service when an account's average is near its deadlines. */
const MAX_SERVICE_RATIO = 0.5;
/** For users that name none; as long as a profile allows by default. */
const DEFAULT_DRAIN_TIMEOUT_MS = 3_000;
/** Requests on routes open to all and the VM's own statements share one turn. */
const NO_ACCOUNT = '';
const DEFAULT_OPTIONS: PoolOptions = {
  order: 'fair',
  maxQueuedPerAccount: 256,
  maxQueued: 1_024,
  connectTimeoutMs: 1_000,
  mayOpen: () => true,
  weightOf: () => 1,
};

/** The part of a request's time that is kept for its statement. */
const serviceMs = (costMs: number, timeoutMs: number): number =>
  Math.min(costMs * SERVICE_TIME_FACTOR, timeoutMs * MAX_SERVICE_RATIO);

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
  /** Connections in use, and how long each may go on once the pool is closed. */
  const lent = new Map<EndpointConnection, number>();
  /** Open connections and those that are being opened. */
  let openCount = 0;
  let openingCount = 0;
  let returnedAtMs = Number.NEGATIVE_INFINITY;
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

  const refuseTurn = ({ item, account, chargedMs }: Turn, error: unknown): void => {
    queue.cancel(account, chargedMs);
    item.refuse(error);
  };

  /**
   * Whether a request that waited has too little time left: its statement would be cut, and
   * the connection lost with it.
   */
  const isTooLate = ({ item, chargedMs }: Turn): boolean => {
    const waitedMs = nowMs() - item.offeredAtMs;
    return waitedMs > 0 && item.timeoutMs - waitedMs < serviceMs(chargedMs, item.timeoutMs);
  };

  /** The next request that can still be served; those that can't be are refused. */
  const nextTurn = (): Turn | undefined => {
    let turn = queue.next();
    while (turn && isTooLate(turn)) {
      const message = 'the time left does not suffice for the statement';
      refuseTurn(turn, notRun('queueTimeout', message, Math.ceil(turn.chargedMs)));
      turn = queue.next();
    }
    return turn;
  };

  /** Tells one waiting request that no connection can be had, so that it goes elsewhere. */
  const refuseNext = (message: string): void => {
    const turn = nextTurn();
    if (turn) refuseTurn(turn, notRun('noConnection', message));
  };

  const giveBack = (connection: EndpointConnection): void => {
    if (!isClosed && connection.isUsable() && options.mayOpen()) idle.push(connection);
    else drop(connection);
  };

  /** Opens a connection for whoever's turn it is by then, whatever the deadlines now queued. */
  const open = async (): Promise<void> => {
    openCount += 1;
    openingCount += 1;
    try {
      const connection = await endpoint.connect(options.connectTimeoutMs);
      openingCount -= 1;
      giveBack(connection);
    } catch (error) {
      openingCount -= 1;
      openCount -= 1;
      refuseNext(error instanceof EndpointError ? error.message : String(error));
    }
  };

  const serveIdle = (): void => {
    for (let connection = takeIdle(); connection; connection = takeIdle()) {
      const turn = nextTurn();
      if (!turn) {
        idle.push(connection);
        return;
      }
      turn.item.give(connection, turn.chargedMs);
    }
  };

  /** Gives connections to the requests whose turn it is, and opens those that are missing. */
  const serveQueue = (): void => {
    if (queue.size() > 0) serveIdle();
    while (!isClosed && openCount < maxConnections && openingCount < queue.size()) {
      if (options.mayOpen()) open().then(serveQueue);
      else refuseNext('no connection may be opened');
    }
  };

  const release = (connection: EndpointConnection): void => {
    returnedAtMs = nowMs();
    giveBack(connection);
    serveQueue();
  };

  /** Lends a connection; the account is charged for the time until it is given back. */
  const lend = (
    connection: EndpointConnection,
    flow: string,
    chargedMs: number,
    drainTimeoutMs: number,
  ): LentConnection => {
    const startedAtMs = nowMs();
    let isOver = false;
    lent.set(connection, drainTimeoutMs);
    const end = (settle: () => void): void => {
      if (isOver) return;
      isOver = true;
      lent.delete(connection);
      settle();
      release(connection);
    };
    return {
      connection,
      release: () => end(() => queue.end(flow, chargedMs, nowMs() - startedAtMs)),
      discard: () => {
        connection.close();
        end(() => queue.cancel(flow, chargedMs));
      },
    };
  };

  const hasRoom = (): boolean =>
    queue.size() === 0 && (idle.length > 0 || openCount < maxConnections);

  const wait = (
    flow: string,
    weight: number,
    deadlineAtMs: number,
    drainTimeoutMs: number,
  ): Promise<LentConnection> =>
    new Promise((resolve, reject) => {
      const offeredAtMs = nowMs();
      const timeoutMs = Math.max(0, deadlineAtMs - offeredAtMs);
      let timer: NodeJS.Timeout | undefined;
      let isOver = false;
      const waiter: Waiter = {
        offeredAtMs,
        timeoutMs,
        give: (connection, chargedMs) => {
          clearTimeout(timer);
          const pooled = lend(connection, flow, chargedMs, drainTimeoutMs);
          if (isOver) pooled.release();
          else resolve(pooled);
          isOver = true;
        },
        refuse: (error) => {
          clearTimeout(timer);
          isOver = true;
          reject(error);
        },
      };
      const waitMs = timeoutMs - serviceMs(queue.costMs(flow), timeoutMs);
      const refusal = queue.offer(waiter, flow, weight, hasRoom() ? Infinity : waitMs);
      if (refusal) {
        const message = 'the wait for a connection would be too long';
        reject(notRun(refusal.code, message, refusal.retryAfterMs));
        return;
      }
      timer = setTimeout(() => {
        queue.remove(waiter, flow);
        const message = 'no connection became free before the deadline';
        waiter.refuse(notRun('queueTimeout', message, Math.ceil(queue.costMs(flow))));
      }, timeoutMs);
      serveQueue();
    });

  const cutLater = (connection: EndpointConnection, delayMs: number): void => {
    if (delayMs === 0) connection.close();
    else setTimeout(() => lent.has(connection) && connection.close(), delayMs).unref();
  };

  return {
    /** @throws RefusalError `noConnection`, `queueFull` or `queueTimeout`. */
    acquire: async (
      account: string | undefined,
      deadlineAtMs: number,
      drainTimeoutMs = DEFAULT_DRAIN_TIMEOUT_MS,
    ): Promise<LentConnection> => {
      const weight = account === undefined ? 1 : options.weightOf(account);
      return wait(flowOf(account), weight, deadlineAtMs, drainTimeoutMs);
    },
    queued: () => queue.size(),
    /** Monotonic time at which a connection was last given back. */
    returnedAtMs: () => returnedAtMs,
    /** Connections that are open or being opened. */
    openCount: () => openCount,
    isClosed: () => isClosed,
    /**
     * Refuses what waits; closes the idle connections now, the others when they are given back
     * or when `cutAfterMs` has passed, else the time that their users gave.
     */
    close: (cutAfterMs?: number): void => {
      if (isClosed && cutAfterMs === undefined) return;
      isClosed = true;
      idle.splice(0).forEach(drop);
      while (queue.size() > 0) refuseNext('the pool has been closed');
      lent.forEach((drainTimeoutMs, connection) =>
        cutLater(connection, cutAfterMs ?? drainTimeoutMs),
      );
    },
  };
};

export default createConnectionPool;
