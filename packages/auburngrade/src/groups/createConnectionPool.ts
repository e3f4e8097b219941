import { createFairQueue, createNotRunError } from '@auburngrade/coordination';
import { EndpointError, type Endpoint, type EndpointConnection } from '@auburngrade/endpoint';
import type CheckedOutConnection from './checkedOutConnection';
import type PoolOptions from './poolOptions';

interface PendingAcquire {
  enqueuedAtMs: number;
  timeoutMs: number;
  assign(connection: EndpointConnection, chargedMs: number): void;
  refuse(error: unknown): void;
}

interface QueuedRequest {
  item: PendingAcquire;
  account: string;
  chargedMs: number;
}

/** A queued statement is given at least this multiple of its account's average time to run. */
const SERVICE_TIME_FACTOR = 3;
/** Upper bound of the reserved share of a deadline, for accounts whose average is near it. */
const MAX_SERVICE_RATIO = 0.5;
/** For callers that pass none; equals the default of a profile. */
const DEFAULT_DRAIN_TIMEOUT_MS = 3_000;
/** Queue shared by requests without an account: open routes and the VM's own statements. */
const SHARED_QUEUE_KEY = '';
const CLOSED_MESSAGE = 'the connection pool is closed';
const WITHDRAWN_MESSAGE = 'the data centre of the endpoint is evacuated';
const DEFAULT_OPTIONS: PoolOptions = {
  order: 'fair',
  maxQueuedPerAccount: 256,
  maxQueued: 1_024,
  connectTimeoutMs: 1_000,
  mayOpen: () => true,
  weightOf: () => 1,
};

/** Part of a request's timeout that is reserved for running its statement. */
const reservedServiceMs = (costMs: number, timeoutMs: number): number =>
  Math.min(costMs * SERVICE_TIME_FACTOR, timeoutMs * MAX_SERVICE_RATIO);

/** A bounded pool of connections to one endpoint, shared fairly between client accounts. */
const createConnectionPool = (
  endpoint: Endpoint,
  maxConnections: number,
  nowMs: () => number,
  overrides: Partial<PoolOptions> = {},
) => {
  const options = { ...DEFAULT_OPTIONS, ...overrides };
  const limits = { perAccount: options.maxQueuedPerAccount, total: options.maxQueued };
  const queue = createFairQueue<PendingAcquire>(limits, maxConnections);
  const idle: EndpointConnection[] = [];
  /** Connections in use, with the time that each is left open after the pool is closed. */
  const drainTimeoutMsByConnection = new Map<EndpointConnection, number>();
  /** Connections that are open or being opened. */
  let openCount = 0;
  let openingCount = 0;
  let lastReleasedAtMs = Number.NEGATIVE_INFINITY;
  let isClosed = false;

  /** Fair-queue key of an account; all accounts share one in `firstComeFirstServed` order. */
  const queueKeyOf = (account: string | undefined): string =>
    options.order === 'fair' ? (account ?? SHARED_QUEUE_KEY) : SHARED_QUEUE_KEY;

  const closeConnection = (connection: EndpointConnection): void => {
    openCount -= 1;
    connection.close();
  };

  const takeIdleConnection = (): EndpointConnection | undefined => {
    const connection = idle.pop();
    if (!connection) return undefined;
    if (connection.isUsable()) return connection;
    closeConnection(connection);
    return takeIdleConnection();
  };

  const refuseQueued = ({ item, account, chargedMs }: QueuedRequest, error: unknown): void => {
    queue.cancel(account, chargedMs);
    item.refuse(error);
  };

  /**
   * Whether a request that waited has too little time left: its statement would time out, and
   * its connection would have to be closed.
   */
  const isTooLateToServe = ({ item, chargedMs }: QueuedRequest): boolean => {
    const waitedMs = nowMs() - item.enqueuedAtMs;
    return waitedMs > 0 && item.timeoutMs - waitedMs < reservedServiceMs(chargedMs, item.timeoutMs);
  };

  /** Dequeues the next request with enough time left; refuses those without. */
  const nextServiceable = (): QueuedRequest | undefined => {
    let next = queue.dequeue();
    while (next && isTooLateToServe(next)) {
      const message = 'too little time is left before the deadline to run the statement';
      refuseQueued(next, createNotRunError('queueTimeout', message, Math.ceil(next.chargedMs)));
      next = queue.dequeue();
    }
    return next;
  };

  /** Refuses the next request with `noConnection`; its caller may try another member or VM. */
  const refuseNext = (message: string): void => {
    const next = nextServiceable();
    if (next) refuseQueued(next, createNotRunError('noConnection', message));
  };

  const returnToPool = (connection: EndpointConnection): void => {
    if (!isClosed && connection.isUsable() && options.mayOpen()) idle.push(connection);
    else closeConnection(connection);
  };

  /** Opens a connection for the request next in turn by then; queued deadlines do not bound it. */
  const openConnection = async (): Promise<void> => {
    openCount += 1;
    openingCount += 1;
    try {
      const connection = await endpoint.connect(options.connectTimeoutMs);
      openingCount -= 1;
      returnToPool(connection);
    } catch (error) {
      openingCount -= 1;
      openCount -= 1;
      refuseNext(error instanceof EndpointError ? error.message : String(error));
    }
  };

  const assignIdleConnections = (): void => {
    for (let connection = takeIdleConnection(); connection; connection = takeIdleConnection()) {
      const next = nextServiceable();
      if (!next) {
        idle.push(connection);
        return;
      }
      next.item.assign(connection, next.chargedMs);
    }
  };

  /** Assigns idle connections to queued requests and opens more up to `maxConnections`. */
  const serveQueue = (): void => {
    if (queue.size() > 0) assignIdleConnections();
    while (!isClosed && openCount < maxConnections && openingCount < queue.size()) {
      if (options.mayOpen()) openConnection().then(serveQueue);
      else refuseNext('this VM may not open connections to the group now');
    }
  };

  const release = (connection: EndpointConnection): void => {
    lastReleasedAtMs = nowMs();
    returnToPool(connection);
    serveQueue();
  };

  /** Checks out a connection; the account is charged for the time until its release. */
  const checkOut = (
    connection: EndpointConnection,
    queueKey: string,
    chargedMs: number,
    drainTimeoutMs: number,
  ): CheckedOutConnection => {
    const startedAtMs = nowMs();
    let isSettled = false;
    drainTimeoutMsByConnection.set(connection, drainTimeoutMs);
    const finish = (settleCharge: () => void): void => {
      if (isSettled) return;
      isSettled = true;
      drainTimeoutMsByConnection.delete(connection);
      settleCharge();
      release(connection);
    };
    return {
      connection,
      release: () => finish(() => queue.end(queueKey, chargedMs, nowMs() - startedAtMs)),
      discard: () => {
        connection.close();
        finish(() => queue.cancel(queueKey, chargedMs));
      },
    };
  };

  const isConnectionAvailable = (): boolean =>
    queue.size() === 0 && (idle.length > 0 || openCount < maxConnections);

  const enqueue = (
    queueKey: string,
    weight: number,
    deadlineAtMs: number,
    drainTimeoutMs: number,
  ): Promise<CheckedOutConnection> =>
    new Promise((resolve, reject) => {
      const enqueuedAtMs = nowMs();
      const timeoutMs = Math.max(0, deadlineAtMs - enqueuedAtMs);
      let timer: NodeJS.Timeout | undefined;
      let isSettled = false;
      const pending: PendingAcquire = {
        enqueuedAtMs,
        timeoutMs,
        assign: (connection, chargedMs) => {
          clearTimeout(timer);
          const checkedOut = checkOut(connection, queueKey, chargedMs, drainTimeoutMs);
          if (isSettled) checkedOut.release();
          else resolve(checkedOut);
          isSettled = true;
        },
        refuse: (error) => {
          clearTimeout(timer);
          isSettled = true;
          reject(error);
        },
      };
      const waitMs = timeoutMs - reservedServiceMs(queue.costMs(queueKey), timeoutMs);
      const refusal = queue.enqueue(
        pending,
        queueKey,
        weight,
        isConnectionAvailable() ? Infinity : waitMs,
      );
      if (refusal) {
        const message =
          'the expected wait for a connection exceeds the deadline or the queue limit';
        reject(createNotRunError(refusal.code, message, refusal.retryAfterMs));
        return;
      }
      timer = setTimeout(() => {
        queue.remove(pending, queueKey);
        const message = 'no connection became available before the deadline';
        pending.refuse(
          createNotRunError('queueTimeout', message, Math.ceil(queue.costMs(queueKey))),
        );
      }, timeoutMs);
      serveQueue();
    });

  const closeAfter = (connection: EndpointConnection, delayMs: number): void => {
    if (delayMs === 0) connection.close();
    else
      setTimeout(
        () => drainTimeoutMsByConnection.has(connection) && connection.close(),
        delayMs,
      ).unref();
  };

  return {
    /** @throws RefusalError `noConnection`, `queueFull` or `queueTimeout`. */
    acquire: async (
      account: string | undefined,
      deadlineAtMs: number,
      drainTimeoutMs = DEFAULT_DRAIN_TIMEOUT_MS,
    ): Promise<CheckedOutConnection> => {
      if (isClosed) throw createNotRunError('noConnection', CLOSED_MESSAGE);
      const weight = account === undefined ? 1 : options.weightOf(account);
      return enqueue(queueKeyOf(account), weight, deadlineAtMs, drainTimeoutMs);
    },
    /**
     * Refuses queued requests and closes idle connections at once; with `isInUseClosed` those in
     * use too. Unlike a closed pool, it opens connections again when `mayOpen` allows it.
     */
    withdraw: (isInUseClosed: boolean): void => {
      idle.splice(0).forEach(closeConnection);
      while (queue.size() > 0) refuseNext(WITHDRAWN_MESSAGE);
      if (isInUseClosed) drainTimeoutMsByConnection.forEach((_, connection) => connection.close());
    },
    queued: () => queue.size(),
    /** Monotonic time at which a connection was last released. */
    lastReleasedAtMs: () => lastReleasedAtMs,
    /** Connections that are open or being opened. */
    openCount: () => openCount,
    isClosed: () => isClosed,
    /**
     * Refuses queued requests and closes idle connections at once, connections in use on release
     * or after `forceCloseAfterMs` (by default the drain timeout passed to `acquire`).
     */
    close: (forceCloseAfterMs?: number): void => {
      if (isClosed && forceCloseAfterMs === undefined) return;
      isClosed = true;
      idle.splice(0).forEach(closeConnection);
      while (queue.size() > 0) refuseNext(CLOSED_MESSAGE);
      drainTimeoutMsByConnection.forEach((drainTimeoutMs, connection) =>
        closeAfter(connection, forceCloseAfterMs ?? drainTimeoutMs),
      );
    },
  };
};

export default createConnectionPool;
