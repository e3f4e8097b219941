import { chooseStatementEndpoint, compareUrgency } from '@auburngrade/coordination';
import { Action, type GroupCall } from '../generated/auburngrade/session/v1/session';
import type GroupEndpoint from '../seams/groupEndpoint';
import type CallOutcome from './callOutcome';
import createGroupMembers from './createGroupMembers';
import createOpenTransactions from './createOpenTransactions';
import createRefusal from './createRefusal';
import createReplyOutcomes from './createReplyOutcomes';
import createStatementRunner from './createStatementRunner';
import createUnservableCheck from './createUnservableCheck';
import type GroupServerOptions from './groupServerOptions';
import isPrimaryOnly from './isPrimaryOnly';
import logOutcome from './logOutcome';
import type PendingStatement from './pendingStatement';
import toTransactionKey from './toTransactionKey';
import type MemberPool from './memberPool';

/** Fraction of a statement's time limit that it may spend queued; the rest is left to run it. */
const MAX_QUEUE_TIME_RATIO = 0.85;
/** Maximum attempts for one statement; only reads and statements that did not run are retried. */
const MAX_ATTEMPTS = 6;
/** Connections per endpoint that transactions may not hold, so that single statements can run. */
const RESERVED_SINGLE_STATEMENT_CONNECTIONS = 4;

const UNSENDABLE_NAMES =
  "the endpoints' protocol can't carry the name of the group or of the account";

const PRIMARY_EVACUATED =
  "the primary's data centre is evacuated, and no other endpoint can replace it; retry in 1000 ms";

/** Queues and runs the statements of one group on its owner, which holds all its connections. */
const createGroupServer = (options: GroupServerOptions) => {
  const { group, dialer, limiter, log, nowMs } = options;
  const transactions = createOpenTransactions({ group, log });
  /** First statements of transactions that are not answered yet, by transaction. */
  const openings = new Map<string, PendingStatement>();
  let queue: PendingStatement[] = [];
  let isClosed = false;
  let isDraining = false;
  let isDispatchScheduled = false;

  /** `dispatch` is assigned below, after the pools and the primary manager that trigger it. */
  const scheduler: { dispatch(): void } = { dispatch: () => undefined };
  const scheduleDispatch = (): void => {
    if (isDispatchScheduled || isClosed) return;
    isDispatchScheduled = true;
    setImmediate(() => {
      isDispatchScheduled = false;
      scheduler.dispatch();
    });
  };

  const { pools, endpoints, phases, primaryManager, requiredPosition } = createGroupMembers(
    { ...options, onChange: scheduleDispatch },
    transactions,
  );
  const isUnservable = createUnservableCheck({ pools, primaryManager, requiredPosition });

  const resolveStatement = (statement: PendingStatement, outcome: CallOutcome): void => {
    clearTimeout(statement.queueTimer);
    const { senderId, call } = statement;
    if (call.opensTransaction) openings.delete(toTransactionKey(senderId, call.transaction));
    const isNotRun =
      outcome.kind === 'notOwner' || (outcome.kind === 'refused' && outcome.code === 'busy');
    if (isNotRun && !statement.isInTransaction && !statement.hasBeenSent)
      limiter.refund(statement.call.account);
    logOutcome(statement, outcome, {
      group,
      log,
      nowMs: nowMs(),
      primary: primaryManager.getAvailablePrimary(),
      waiting: queue.length,
    });
    statement.resolve(outcome);
  };

  /** Refuses the first statement of a transaction that was ended before it was open. */
  const resolveEndedOpening = (statement: PendingStatement): void =>
    resolveStatement(statement, createRefusal('aborted', 'the transaction was ended'));

  const endOpening = (opening: PendingStatement): void => {
    const statement = opening;
    statement.isTransactionEnded = true;
    if (!queue.includes(statement)) return;
    queue = queue.filter((queued) => queued !== statement);
    resolveEndedOpening(statement);
  };

  const hasAttemptLeft = ({ attempts, queueDeadlineMs }: PendingStatement): boolean =>
    attempts < MAX_ATTEMPTS && nowMs() < queueDeadlineMs;

  const requeue = (statement: PendingStatement): void => {
    if (statement.isTransactionEnded) {
      resolveEndedOpening(statement);
    } else if (isClosed || (isDraining && !statement.isInTransaction)) {
      resolveStatement(statement, { kind: 'notOwner' });
    } else if (!hasAttemptLeft(statement)) {
      resolveStatement(
        statement,
        createRefusal(
          'busy',
          'no endpoint could run the statement within its attempts or queue time; retry in 200 ms',
        ),
      );
    } else {
      queue.push(statement);
      scheduleDispatch();
    }
  };

  const runner = createStatementRunner({
    primaryManager,
    transactions,
    outcomes: createReplyOutcomes({
      ...options,
      primaryManager,
      isDraining: () => isDraining,
    }),
    nowMs,
    isClosed: () => isClosed,
    getRequiredPosition: requiredPosition.find,
    resolveStatement,
    requeue,
    hasAttemptLeft,
    retryInTransaction: (statement) => {
      queue.push(statement);
    },
  });

  const start = (statement: PendingStatement, pool: MemberPool, run: () => Promise<void>): void => {
    const started = statement;
    started.attempts += 1;
    pool.acquireSlot();
    run()
      .catch((error) => {
        log.warn('request.broken', { request: statement.call.requestId, reason: String(error) });
        resolveStatement(
          statement,
          createRefusal(
            statement.call.action === Action.ACTION_READ ? 'failed' : 'inDoubt',
            'internal error while running the statement',
          ),
        );
      })
      .finally(() => {
        pool.releaseSlot();
        scheduleDispatch();
      });
  };

  /** Starts or refuses a queued statement; returns false when no endpoint can take it yet. */
  const tryStartStatement = (entry: PendingStatement): boolean => {
    const { call } = entry;
    const transaction = transactions.find(entry);
    if (!transaction && entry.isInTransaction) {
      resolveStatement(entry, createRefusal('aborted', 'the transaction has already ended'));
      return true;
    }
    // A first statement that the endpoint refused as busy finds its transaction open.
    if (transaction) {
      const load = transaction.pool.getLoad(call.account, true);
      if (load.activeStatements > load.slots || load.pausedUntilMs > nowMs()) return false;
      start(entry, transaction.pool, () => runner.runInTransaction(entry, transaction));
      return true;
    }
    if (!options.isAuthoritative()) return false;
    const primary = primaryManager.getAvailablePrimary();
    const needsPrimary = isPrimaryOnly(entry);
    const loads = [...pools.values()].map((pool) =>
      pool.getLoad(call.account, pool.endpoint().id === primary),
    );
    const eligibleLoads = call.opensTransaction
      ? loads.filter(
          ({ id }) =>
            transactions.countAt(id) <
            endpoints.maxConnections() - RESERVED_SINGLE_STATEMENT_CONNECTIONS,
        )
      : loads;
    const notBefore = needsPrimary ? undefined : requiredPosition.find(entry);
    const chosenLoad = chooseStatementEndpoint(
      eligibleLoads,
      { needsPrimary, notBefore, excluded: entry.excludedEndpointIds },
      nowMs(),
    );
    const pool = chosenLoad && pools.get(chosenLoad.id);
    if (!pool) return false;
    start(entry, pool, () =>
      call.opensTransaction ? runner.begin(entry, pool) : runner.runSingle(entry, pool),
    );
    return true;
  };

  /** Refuses at once what only an evacuated primary can serve, and what is left of transactions there. */
  const refuseUnservable = (): void => {
    if (!primaryManager.isPrimaryEvacuated()) return;
    const refused = queue.filter(
      (statement) =>
        !transactions.find(statement) && (statement.isInTransaction || isUnservable(statement)),
    );
    queue = queue.filter((statement) => !refused.includes(statement));
    refused.forEach((statement) =>
      resolveStatement(
        statement,
        statement.isInTransaction
          ? createRefusal('aborted', 'the transaction has already ended')
          : createRefusal('busy', PRIMARY_EVACUATED),
      ),
    );
  };

  const hasCapacity = (): boolean => [...pools.values()].some((pool) => pool.hasCapacity());

  scheduler.dispatch = () => {
    if (isClosed || queue.length === 0) return;
    const now = nowMs();
    refuseUnservable();
    if (!hasCapacity()) return;
    queue.sort((a, b) => compareUrgency(a, b, now));
    const candidates = queue;
    queue = [];
    const notStarted = candidates.filter(
      (statement) => !hasCapacity() || !tryStartStatement(statement),
    );
    queue = [...notStarted, ...queue];
    if (
      notStarted.some((statement) => !isPrimaryOnly(statement) && !requiredPosition.find(statement))
    )
      requiredPosition.sampleIfStale(queue[0]?.call.account ?? options.controlAccount());
  };

  const expireStatement = (statement: PendingStatement): void => {
    const index = queue.indexOf(statement);
    if (index < 0) return;
    queue.splice(index, 1);
    const transaction = transactions.find(statement);
    if (transaction) transactions.end(transaction, false);
    const reason = primaryManager.getAvailablePrimary()
      ? 'no endpoint slot became free within the queue time limit'
      : 'the group has no available primary';
    resolveStatement(statement, createRefusal('busy', `${reason}; retry in 300 ms`));
  };

  return {
    /** `warmupRatePerS`: statements a second that a cold endpoint is sent at most; 0 for no limit. */
    updateEndpoints: (
      entries: readonly GroupEndpoint[],
      connectionLimit: number,
      warmupRatePerS = 0,
    ): void => {
      endpoints.update(entries, connectionLimit, warmupRatePerS);
      phases.update();
      if (primaryManager.getKnownPrimary() === undefined) primaryManager.checkNow();
      scheduleDispatch();
    },
    run: (
      senderId: string,
      call: GroupCall,
      values: ReadonlyMap<string, string>,
    ): Promise<CallOutcome> => {
      const isNewWork = call.transaction === 0 || call.opensTransaction;
      if (isClosed || (isDraining && isNewWork)) return Promise.resolve({ kind: 'notOwner' });
      if (!dialer.canSend(group, call.account))
        return Promise.resolve(createRefusal('malformed', UNSENDABLE_NAMES));
      if (isNewWork) {
        const { isAdmitted, retryInMs } = limiter.admit(call.account);
        if (!isAdmitted) {
          const message = `the account is over its rate limit; retry in ${Math.ceil(retryInMs)} ms`;
          log.info('request.overRate', {
            request: call.requestId,
            account: call.account,
            retryInMs,
          });
          return Promise.resolve(createRefusal('busy', message));
        }
      }
      const now = nowMs();
      return new Promise((resolve) => {
        const statement: PendingStatement = {
          senderId,
          call,
          values,
          excludedEndpointIds: new Set(),
          isInTransaction: !isNewWork,
          arrivedAtMs: now,
          targetAtMs: now + call.targetLatencyMs - call.waitedMs,
          queueDeadlineMs: now + call.statementTimeoutMs * MAX_QUEUE_TIME_RATIO - call.waitedMs,
          priority: call.priority,
          attempts: 0,
          hasBeenSent: false,
          isTransactionEnded: false,
          queueTimer: undefined,
          resolve,
        };
        statement.queueTimer = setTimeout(
          () => expireStatement(statement),
          Math.max(1, statement.queueDeadlineMs - now),
        );
        if (call.opensTransaction)
          openings.set(toTransactionKey(senderId, call.transaction), statement);
        queue.push(statement);
        scheduler.dispatch();
      });
    },
    hasTransaction: (senderId: string, transactionId: number): boolean =>
      transactions.get(toTransactionKey(senderId, transactionId)) !== undefined,
    endTransaction: (senderId: string, transactionId: number): void => {
      const key = toTransactionKey(senderId, transactionId);
      const transaction = transactions.get(key);
      const opening = openings.get(key);
      if (transaction) transactions.end(transaction, false);
      if (opening) endOpening(opening);
    },
    /** Rolls back all open transactions of a VM process that is gone. */
    endTransactionsOfSender: (senderId: string): void => {
      transactions
        .list()
        .filter(({ id }) => id.startsWith(`${senderId}/`))
        .forEach((transaction) => transactions.end(transaction, false));
      [...openings.values()].filter((opening) => opening.senderId === senderId).forEach(endOpening);
    },
    /** Called when another VM has become the owner: only open transactions continue here. */
    startDraining: (): void => {
      isDraining = true;
      primaryManager.close();
      const [inTransaction, rejected] = [
        queue.filter(({ isInTransaction }) => isInTransaction),
        queue.filter(({ isInTransaction }) => !isInTransaction),
      ];
      queue = inTransaction;
      rejected.forEach((statement) => resolveStatement(statement, { kind: 'notOwner' }));
      pools.forEach((pool) => pool.stopReusingConnections());
    },
    /** Call when the evacuation of a data centre has begun, entered its last phase, or ended. */
    noteEvacuationsChanged: (): void => {
      phases.update();
      primaryManager.noteEvacuationsChanged();
      scheduleDispatch();
    },
    /** How many endpoints are in each phase of an evacuation. */
    endpointPhases: phases.count,
    countOpenTransactions: () => transactions.count(),
    countInFlight: () =>
      [...pools.values()].reduce((sum, pool) => sum + pool.getLoad('', false).activeStatements, 0),
    countQueued: () => queue.length,
    isReplacingPrimary: primaryManager.isReplacing,
    primary: () => primaryManager.getAvailablePrimary(),
    close: (): void => {
      isClosed = true;
      primaryManager.close();
      queue.splice(0).forEach((statement) => resolveStatement(statement, { kind: 'notOwner' }));
      transactions.list().forEach((transaction) => transactions.end(transaction, false));
      pools.forEach((pool) => pool.close());
    },
  };
};

export default createGroupServer;
