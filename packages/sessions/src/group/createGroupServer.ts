import {
  chooseStatementEndpoint,
  createAttemptPace,
  type MemberLoad,
} from '@auburngrade/coordination';
import { Action, type GroupCall } from '../generated/auburngrade/session/v1/session';
import type GroupEndpoint from '../seams/groupEndpoint';
import type AdmissionRefusal from './admissionRefusal';
import type CallOutcome from './callOutcome';
import createGroupMembers from './createGroupMembers';
import createOpenTransactions from './createOpenTransactions';
import createRefusal from './createRefusal';
import createReplyOutcomes from './createReplyOutcomes';
import createStatementAdmission from './createStatementAdmission';
import createStatementQueue from './createStatementQueue';
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
/** Longest delay between two attempts at an endpoint where a statement did not run. */
const MAX_ATTEMPT_DELAY_MS = 250;
/** The same in an open transaction, which holds a connection and can't run elsewhere. */
const MAX_TRANSACTION_ATTEMPT_DELAY_MS = 100;
/** Maximum attempts for one statement, without those of which it is known that it did not run. */
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
  const refusalCounts = new Map<AdmissionRefusal, number>();
  const transactions = createOpenTransactions({ group, log });
  /** First statements of transactions that are not answered yet, by transaction. */
  const openings = new Map<string, PendingStatement>();
  let isClosed = false;
  let isDraining = false;
  let isDispatchScheduled = false;

  /** Both are assigned below, after the pools and the primary manager that they use. */
  const scheduler: Pick<Parameters<typeof createStatementAdmission>[0], 'findUsableEndpoints'> & {
    dispatch(): void;
  } = { dispatch: () => undefined, findUsableEndpoints: () => [] };
  const admission = createStatementAdmission({
    nowMs,
    random: options.random,
    findUsableEndpoints: (isPrimaryOnlyClass) => scheduler.findUsableEndpoints(isPrimaryOnlyClass),
  });
  const queue = createStatementQueue(nowMs, admission);
  const scheduleDispatch = (): void => {
    if (isDispatchScheduled || isClosed) return;
    isDispatchScheduled = true;
    setImmediate(() => {
      isDispatchScheduled = false;
      scheduler.dispatch();
    });
  };

  const { pools, endpoints, phases, primaryManager, requiredPosition, availableSince } =
    createGroupMembers(
      {
        ...options,
        onChange: scheduleDispatch,
        onPrimaryFound: admission.forgetServiceTimes,
      },
      transactions,
    );
  const isUnservable = createUnservableCheck({ pools, primaryManager, requiredPosition });

  /** Endpoints that could run statements of a class if they had a free slot; one that is down may return. */
  scheduler.findUsableEndpoints = (isPrimaryOnlyClass) => {
    const primary = primaryManager.getAvailablePrimary();
    if (!options.isAuthoritative() || primary === undefined || pools.get(primary)?.isDown())
      return [];
    return [...pools.values()]
      .filter((pool) => pool.use().acceptsNewWork)
      .map((pool) => pool.endpoint())
      .filter(({ id }) => id === primary || !isPrimaryOnlyClass)
      .map(({ id, slots }) => ({ id, concurrency: slots + 1 }));
  };

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
      waiting: queue.size(),
      forecastWaitMs: admission.forecastWaitMs,
    });
    statement.resolve(outcome);
  };

  /** Refuses a statement that did not run, and says when its caller should try again. */
  const refuseAsBusy = (
    statement: PendingStatement,
    kind: AdmissionRefusal,
    reason: string,
  ): void => {
    refusalCounts.set(kind, (refusalCounts.get(kind) ?? 0) + 1);
    const retryInMs = admission.findRetryDelayMs(statement);
    resolveStatement(statement, createRefusal('busy', `${reason}; retry in ${retryInMs} ms`));
  };

  /** Refuses the first statement of a transaction that was ended before it was open. */
  const resolveEndedOpening = (statement: PendingStatement): void =>
    resolveStatement(statement, createRefusal('aborted', 'the transaction was ended'));

  const endOpening = (opening: PendingStatement): void => {
    const statement = opening;
    statement.isTransactionEnded = true;
    if (queue.remove(statement)) resolveEndedOpening(statement);
  };

  /** Delays the next attempt at an endpoint where the statement did not run. */
  const paceAttempts = (statement: PendingStatement, endpointId: string): void => {
    const paced = statement;
    paced.notRunAttempts += 1;
    paced.pace ??= createAttemptPace(
      statement.isInTransaction ? MAX_TRANSACTION_ATTEMPT_DELAY_MS : MAX_ATTEMPT_DELAY_MS,
    );
    setTimeout(scheduleDispatch, paced.pace.noteNotRun(endpointId, nowMs()) + 1);
  };

  const isPaused = (statement: PendingStatement, load: MemberLoad): boolean =>
    load.pausedUntilMs > nowMs() ||
    (statement.pace !== undefined &&
      statement.pace.pausedUntilMs(load.id, availableSince.sinceMs(load.id)) > nowMs());

  const hasAttemptLeft = ({
    attempts,
    notRunAttempts,
    queueDeadlineMs,
  }: PendingStatement): boolean =>
    attempts - notRunAttempts < MAX_ATTEMPTS && nowMs() < queueDeadlineMs;

  /** Call for a statement that was added to the queue and may still wait there. */
  const refuseExcess = (added: PendingStatement): void =>
    queue
      .settle(added)
      .forEach((statement) =>
        refuseAsBusy(statement, 'queueFull', 'the queue is full, and the account holds most of it'),
      );

  const requeue = (statement: PendingStatement): void => {
    if (statement.isTransactionEnded) {
      resolveEndedOpening(statement);
    } else if (isClosed || (isDraining && !statement.isInTransaction)) {
      resolveStatement(statement, { kind: 'notOwner' });
    } else if (!hasAttemptLeft(statement)) {
      refuseAsBusy(
        statement,
        'attempts',
        'no endpoint could run the statement within its attempts or queue time',
      );
    } else {
      queue.add(statement);
      refuseExcess(statement);
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
      paceAttempts,
    }),
    nowMs,
    isClosed: () => isClosed,
    getRequiredPosition: requiredPosition.find,
    resolveStatement,
    requeue,
    refuseAsBusy,
    noteServed: admission.noteServed,
    paceAttempts,
    retryInTransaction: queue.add,
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
      if (load.activeStatements > load.slots || isPaused(entry, load)) return false;
      start(entry, transaction.pool, () => runner.runInTransaction(entry, transaction));
      return true;
    }
    if (!options.isAuthoritative()) return false;
    const primary = primaryManager.getAvailablePrimary();
    const needsPrimary = isPrimaryOnly(entry);
    const loads = [...pools.values()].map((pool) =>
      pool.getLoad(call.account, pool.endpoint().id === primary),
    );
    const openLoads = call.opensTransaction
      ? loads.filter(
          ({ id }) =>
            transactions.countAt(id) <
            endpoints.maxConnections() - RESERVED_SINGLE_STATEMENT_CONNECTIONS,
        )
      : loads;
    const eligibleLoads = entry.pace
      ? openLoads.filter((load) => !isPaused(entry, load))
      : openLoads;
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
    const refused = queue.take(
      (statement) =>
        !transactions.find(statement) && (statement.isInTransaction || isUnservable(statement)),
    );
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

  const refuseHopeless = (statement: PendingStatement): void =>
    refuseAsBusy(
      statement,
      'forecast',
      'no endpoint slot will become free within the queue time limit',
    );

  scheduler.dispatch = () => {
    if (isClosed || queue.size() === 0) return;
    refuseUnservable();
    if (!hasCapacity()) return;
    const notStarted = queue.start({ hasCapacity, tryStart: tryStartStatement });
    if (
      notStarted.some((statement) => !isPrimaryOnly(statement) && !requiredPosition.find(statement))
    )
      requiredPosition.sampleIfStale(queue.first()?.call.account ?? options.controlAccount());
    admission.findHopeless().filter(queue.remove).forEach(refuseHopeless);
  };

  const expireStatement = (statement: PendingStatement): void => {
    if (!queue.remove(statement)) return;
    const transaction = transactions.find(statement);
    if (transaction) transactions.end(transaction, false);
    const slotReason =
      statement.notRunAttempts > 0
        ? 'no endpoint could run the statement within the queue time limit'
        : 'no endpoint slot became free within the queue time limit';
    const reason = primaryManager.getAvailablePrimary()
      ? slotReason
      : 'the group has no available primary';
    refuseAsBusy(statement, primaryManager.getAvailablePrimary() ? 'expired' : 'noPrimary', reason);
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
          refusalCounts.set('overRate', (refusalCounts.get('overRate') ?? 0) + 1);
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
          notRunAttempts: 0,
          pace: undefined,
          hasBeenSent: false,
          isTransactionEnded: false,
          queueTimer: undefined,
          resolve,
        };
        if (!admission.admit(statement)) {
          refuseHopeless(statement);
          return;
        }
        statement.queueTimer = setTimeout(
          () => expireStatement(statement),
          Math.max(1, statement.queueDeadlineMs - now),
        );
        if (call.opensTransaction)
          openings.set(toTransactionKey(senderId, call.transaction), statement);
        queue.add(statement);
        scheduler.dispatch();
        refuseExcess(statement);
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
      queue
        .take(({ isInTransaction }) => !isInTransaction)
        .forEach((statement) => resolveStatement(statement, { kind: 'notOwner' }));
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
    countQueued: () => queue.size(),
    /** Statements refused as `busy`, by reason, since the group is served here. */
    refusalCounts: (): ReadonlyMap<AdmissionRefusal, number> => refusalCounts,
    forecastWaitMs: admission.forecastWaitMs,
    isReplacingPrimary: primaryManager.isReplacing,
    primary: () => primaryManager.getAvailablePrimary(),
    close: (): void => {
      isClosed = true;
      primaryManager.close();
      queue
        .take(() => true)
        .forEach((statement) => resolveStatement(statement, { kind: 'notOwner' }));
      transactions.list().forEach((transaction) => transactions.end(transaction, false));
      pools.forEach((pool) => pool.close());
    },
  };
};

export default createGroupServer;
