import {
  chooseStatementEndpoint,
  createAttemptPace,
  createPositionHistory,
  maxPosition,
  type EvacuationPhase,
  type LogPosition,
  type MemberLoad,
} from '@auburngrade/coordination';
import { Action, type GroupCall } from '../generated/auburngrade/session/v1/session';
import type createRateLimiter from '../limits/createRateLimiter';
import type EventLog from '../seams/eventLog';
import type FailoverClient from '../seams/failoverClient';
import type GroupEndpoint from '../seams/groupEndpoint';
import type MemberCommand from '../seams/memberCommand';
import type MemberDialer from '../seams/memberDialer';
import MemberConnectionError from '../seams/memberConnectionError';
import type MemberReply from '../seams/memberReply';
import type AdmissionRefusal from './admissionRefusal';
import type CallOutcome from './callOutcome';
import createAvailableSince from './createAvailableSince';
import createDepartedEndpoints from './createDepartedEndpoints';
import createMemberPool from './createMemberPool';
import createPrimaryManager from './createPrimaryManager';
import type GroupRecord from './groupRecord';
import type OpenTransaction from './openTransaction';
import isPrimaryOnly from './isPrimaryOnly';
import memberFailureVerdicts from './memberFailureVerdicts';
import type PendingStatement from './pendingStatement';
import type MemberPool from './memberPool';
import type PooledConnection from './pooledConnection';
import prepareConnection from './prepareConnection';
import createRefusal from './createRefusal';
import createStatementAdmission from './createStatementAdmission';
import createStatementQueue from './createStatementQueue';
import toValuesKey from './toValuesKey';

/** Subtracted from a route's maximum age: covers clock error, network delay and the read itself. */
const FRESHNESS_MARGIN_MS = 250;
/** Minimum time between two position samples of the primary while reads wait for one. */
const POSITION_SAMPLE_INTERVAL_MS = 200;
/** Fraction of a statement's time limit that it may spend queued; the rest is left to run it. */
const MAX_QUEUE_TIME_RATIO = 0.85;
/** Longest delay between two attempts at an endpoint where a statement did not run. */
const MAX_ATTEMPT_DELAY_MS = 250;
/** The same in an open transaction, which holds a connection and can't run elsewhere. */
const MAX_TRANSACTION_ATTEMPT_DELAY_MS = 100;
/** Maximum attempts for one statement, without those of which it is known that it did not run. */
const MAX_ATTEMPTS = 6;
/** Fraction of the limit that an owner uses: a crashed owner's connections still count for 3 s. */
const OWNER_CONNECTION_RATIO = 0.7;
/** Timeout of a read's first attempts, several times the usual latency; then it runs elsewhere. */
const SHORT_READ_TIMEOUT_MS = 400;
/** Read attempts with the short timeout; later ones get the statement's full time limit. */
const MAX_SHORT_READ_ATTEMPTS = 2;
/** Connections per endpoint that transactions may not hold, so that single statements can run. */
const RESERVED_SINGLE_STATEMENT_CONNECTIONS = 4;
/** Time until an endpoint without an entry is removed; entries return within 2 s of the store. */
const MISSING_ENTRY_GRACE_MS = 2_500;

const UNSENDABLE_NAMES =
  "the endpoints' protocol can't carry the name of the group or of the account";
const ROLLED_BACK = 'the transaction was rolled back: the primary may have been replaced';

interface GroupServerOptions {
  group: string;
  /** Id of this VM, which owns the group. */
  ownerVm: string;
  dialer: MemberDialer;
  failover: FailoverClient;
  limiter: ReturnType<typeof createRateLimiter>;
  log: EventLog;
  nowMs(): number;
  /** Random number in [0, 1), which spreads the return of refused callers. */
  random(): number;
  /** Era of the platform's store. */
  storeEra(): number;
  getRecordedPrimary(): Pick<GroupRecord, 'primary' | 'term' | 'fence'>;
  record(next: Pick<GroupRecord, 'primary' | 'term' | 'fence'>): Promise<boolean>;
  /** How many replicas receive a commit before it is acknowledged. */
  syncReplicas(): number;
  /** Whether no earlier owner can still be using another primary. */
  canReplacePrimary(): boolean;
  /** Identifies the uninterrupted service of the group by this VM; undefined while it has none. */
  findTenure(): string | undefined;
  /** False while another VM may have replaced the primary without this VM knowing. */
  isAuthoritative(): boolean;
  /** Whether commits under way may still be acknowledged after the handover that ended the tenure. */
  isInHandoverGrace(tenure: string | undefined): boolean;
  /** How far the evacuation of a data centre is. */
  evacuationPhaseOf(dataCentre: string): EvacuationPhase;
  /** Client account used for the owner's own commands, such as status. */
  controlAccount(): string;
}

const toTransactionKey = (senderId: string, transactionId: number): string =>
  `${senderId}/${transactionId}`;

/** Queues and runs the statements of one group on its owner, which holds all its connections. */
const createGroupServer = (options: GroupServerOptions) => {
  const { group, dialer, limiter, log, nowMs } = options;
  const pools = new Map<string, MemberPool>();
  const missingSinceMs = new Map<string, number>();
  const refusalCounts = new Map<AdmissionRefusal, number>();
  const availableSince = createAvailableSince(nowMs);
  const departed = createDepartedEndpoints(nowMs);
  const positionHistory = createPositionHistory();
  const transactions = new Map<string, OpenTransaction>();
  /** First statements of transactions that are not answered yet, by transaction. */
  const openings = new Map<string, PendingStatement>();
  let maxConnections = 1;
  let isClosed = false;
  let isDraining = false;
  let isDispatchScheduled = false;
  let isSampling = false;
  let lastSampleAttemptAtMs = Number.NEGATIVE_INFINITY;

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

  const primaryManager = createPrimaryManager({
    ...options,
    pools,
    departedEndpoints: departed.list,
    countOpenWork: (endpointId) =>
      [...transactions.values()].filter((transaction) => transaction.endpointId === endpointId)
        .length + (pools.get(endpointId)?.getLoad('', true).activeStatements ?? 0),
    onPrimaryFound: (id, position, sentAtMs) => {
      availableSince.noteAvailable(id);
      admission.forgetServiceTimes(id);
      positionHistory.clear();
      positionHistory.record(sentAtMs, position);
    },
    onChange: scheduleDispatch,
  });

  /** Endpoints that could run statements of a class if they had a free slot; one that is down may return. */
  scheduler.findUsableEndpoints = (isPrimaryOnlyClass) => {
    const primary = primaryManager.getAvailablePrimary();
    if (!options.isAuthoritative() || primary === undefined || pools.get(primary)?.isDown())
      return [];
    return [...pools.values()]
      .map((pool) => pool.endpoint())
      .filter(({ id, isLeaving }) => id === primary || (!isPrimaryOnlyClass && !isLeaving))
      .map(({ id, slots }) => ({ id, concurrency: slots + 1 }));
  };

  const endTransaction = (transaction: OpenTransaction, isEndedAtEndpoint: boolean): void => {
    if (!transactions.delete(transaction.id)) return;
    clearTimeout(transaction.idleTimer);
    const { pool, member: connection } = transaction;
    if (isEndedAtEndpoint) {
      pool.release(connection);
      return;
    }
    if (connection.isEnded || transaction.isStatementRunning) {
      pool.closeConnection(connection);
      return;
    }
    const timeoutTimer = setTimeout(() => pool.closeConnection(connection), FRESHNESS_MARGIN_MS);
    pool.send(connection, { kind: 'rollback' }).then(
      (reply) => {
        clearTimeout(timeoutTimer);
        if (reply.state === 'idle' && !reply.failure) pool.release(connection);
        else pool.closeConnection(connection);
      },
      () => clearTimeout(timeoutTimer),
    );
  };

  const startIdleTimer = (idleTransaction: OpenTransaction): void => {
    const transaction = idleTransaction;
    clearTimeout(transaction.idleTimer);
    transaction.idleTimer = setTimeout(() => {
      log.info('transaction.idleEnded', {
        group,
        transaction: transaction.id,
        idleMs: transaction.idleMs,
      });
      endTransaction(transaction, false);
    }, transaction.idleMs);
  };

  const resolveStatement = (statement: PendingStatement, outcome: CallOutcome): void => {
    clearTimeout(statement.queueTimer);
    const { senderId, call } = statement;
    if (call.opensTransaction) openings.delete(toTransactionKey(senderId, call.transaction));
    const isNotRun =
      outcome.kind === 'notOwner' || (outcome.kind === 'refused' && outcome.code === 'busy');
    if (isNotRun && !statement.isInTransaction && !statement.hasBeenSent)
      limiter.refund(statement.call.account);
    if (outcome.kind === 'refused') {
      log.info('request.refused', {
        request: statement.call.requestId,
        group,
        code: outcome.code,
        reason: outcome.message,
        waitedMs: Math.round(nowMs() - statement.arrivedAtMs),
        attempts: statement.attempts,
        primary: primaryManager.getAvailablePrimary(),
        waiting: queue.size(),
        forecastWaitMs: Math.round(admission.forecastWaitMs()),
      });
    } else if (outcome.kind === 'complete' && nowMs() > statement.targetAtMs) {
      log.info('request.late', {
        request: statement.call.requestId,
        group,
        signature: outcome.signature,
        waitedMs: Math.round(nowMs() - statement.arrivedAtMs),
        beforeMs: statement.call.waitedMs,
        targetMs: statement.call.targetLatencyMs,
        attempts: statement.attempts,
        waiting: queue.size(),
      });
    }
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

  const getRequiredPosition = (statement: PendingStatement): LogPosition | undefined => {
    const { maxAgeMs, notBefore } = statement.call;
    // The positions are those of the primary in the tenure in which it was found.
    if (maxAgeMs === undefined || !primaryManager.isPrimaryOfTenure()) return undefined;
    const leastFreshPosition = positionHistory.findMinFreshPosition(
      nowMs() - Math.max(0, maxAgeMs - FRESHNESS_MARGIN_MS),
    );
    return leastFreshPosition && maxPosition(leastFreshPosition, notBefore);
  };

  const findTransaction = (statement: PendingStatement): OpenTransaction | undefined =>
    statement.call.transaction === 0
      ? undefined
      : transactions.get(toTransactionKey(statement.senderId, statement.call.transaction));

  /**
   * Acknowledges a write or commit only if it ran at the primary, and while no other VM can have replaced that.
   * A former primary still commits until it learns of its successor.
   */
  const toCallOutcome = (
    { call }: PendingStatement,
    reply: MemberReply,
    endpointId: string,
  ): CallOutcome => {
    const isChange = call.action !== Action.ACTION_READ && !call.isReadOnly;
    const primary = primaryManager.getKnownPrimary();
    if (isChange && primary !== undefined && endpointId !== primary) {
      const { requestId: request } = call;
      log.warn('request.ranAtFormerPrimary', { request, group, endpoint: endpointId, primary });
    }
    const isAuthoritative = isDraining
      ? options.isInHandoverGrace(primaryManager.primaryTenure())
      : options.isAuthoritative();
    return isChange && (endpointId !== primary || !isAuthoritative)
      ? createRefusal(
          'inDoubt',
          'outcome unknown: the primary may have been replaced while the statement ran',
        )
      : {
          kind: 'complete',
          rows: reply.rows,
          signature: reply.signature ?? '',
          position: reply.position,
        };
  };

  const buildCommand = (
    { call }: PendingStatement,
    connection: PooledConnection,
    notBefore: LogPosition | undefined,
  ): MemberCommand => {
    const { requestId, text, prepared } = call;
    if (!prepared) return { kind: 'forward', requestId, text, notBefore };
    const name = prepareConnection.getPreparedName(connection, prepared);
    return { kind: 'execute', requestId, name, argumentsText: prepared.argumentsText, notBefore };
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
    } else if (
      statement.attempts - statement.notRunAttempts >= MAX_ATTEMPTS ||
      nowMs() >= statement.queueDeadlineMs
    ) {
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

  /** Excludes an endpoint from retries; never the primary, since some statements run only there. */
  const excludeEndpoint = (statement: PendingStatement, pool: MemberPool): void => {
    const { id } = pool.endpoint();
    if (id !== primaryManager.getKnownPrimary()) statement.excludedEndpointIds.add(id);
  };

  /** Maps a failure reply to an outcome; returns undefined when the statement may be retried. */
  const handleFailure = (
    statement: PendingStatement,
    pool: MemberPool,
    reply: MemberReply,
  ): CallOutcome | undefined => {
    const { kind, message } = reply.failure as NonNullable<MemberReply['failure']>;
    const { call } = statement;
    const isRead = call.action === Action.ACTION_READ;
    if (memberFailureVerdicts[kind] === 'notRun') {
      if (kind !== 'noStatement') paceAttempts(statement, pool.endpoint().id);
      if (kind === 'busy') pool.pauseAfterBusy();
      else if (kind === 'readOnly') primaryManager.invalidatePrimary(pool.endpoint().id);
      else if (kind !== 'noStatement') excludeEndpoint(statement, pool);
      return undefined;
    }
    if (!isRead) return createRefusal('inDoubt', message);
    if (kind === 'timedOut') return createRefusal('timedOut', message);
    if (call.transaction !== 0) return createRefusal('failed', message);
    excludeEndpoint(statement, pool);
    return undefined;
  };

  /** Refuses a statement that the endpoints' protocol can't carry: nothing of it was sent. */
  const toUnsendableRefusal = ({
    reason,
    message,
  }: MemberConnectionError): CallOutcome | undefined => {
    if (reason === 'tooLarge') return createRefusal('tooLarge', message);
    return reason === 'unsendable' ? createRefusal('malformed', message) : undefined;
  };

  /** Call right before a statement is sent: one that meets an ended connection does not leave this VM. */
  const requireOpen = ({ isEnded }: PooledConnection): void => {
    if (isEnded)
      throw new MemberConnectionError(
        'broken',
        'the connection ended before the statement was sent',
      );
  };

  /** Sends a statement; closes the connection when the full reply takes longer than `timeoutMs`. */
  const sendWithTimeout = async (
    pool: MemberPool,
    connection: PooledConnection,
    command: MemberCommand,
    timeoutMs: number,
  ): Promise<MemberReply> => {
    const timeoutTimer = setTimeout(() => pool.closeConnection(connection), timeoutMs);
    const startedAtMs = nowMs();
    try {
      const reply = await pool.send(connection, command);
      if (!reply.failure) pool.recordLatency(nowMs() - startedAtMs);
      return reply;
    } finally {
      clearTimeout(timeoutTimer);
    }
  };

  /** Runs a statement outside a transaction. */
  const runSingle = async (statement: PendingStatement, pool: MemberPool): Promise<void> => {
    const { call } = statement;
    const notBefore = isPrimaryOnly(statement) ? undefined : getRequiredPosition(statement);
    const isReplica = pool.endpoint().id !== primaryManager.getKnownPrimary();
    const sentStatement = statement;
    let connection: PooledConnection | undefined;
    let isSent = false;
    try {
      connection = await pool.acquire(call.account, toValuesKey(statement.values));
      const timeoutTimer = setTimeout(
        () => connection && pool.closeConnection(connection),
        call.statementTimeoutMs,
      );
      await prepareConnection(pool, connection, statement.values, call.prepared);
      clearTimeout(timeoutTimer);
      if (isPrimaryOnly(statement) && primaryManager.getAvailablePrimary() !== pool.endpoint().id) {
        pool.release(connection);
        requeue(statement);
        return;
      }
      requireOpen(connection);
      isSent = true;
      sentStatement.hasBeenSent = true;
      const command = buildCommand(statement, connection, isReplica ? notBefore : undefined);
      const isShortAttempt =
        call.action === Action.ACTION_READ && statement.attempts <= MAX_SHORT_READ_ATTEMPTS;
      const timeoutMs = isShortAttempt ? SHORT_READ_TIMEOUT_MS : call.statementTimeoutMs;
      const sentAtMs = nowMs();
      const reply = await sendWithTimeout(pool, connection, command, timeoutMs);
      if (reply.failure?.kind === 'noStatement') connection.prepared.clear();
      if (reply.state === 'idle') pool.release(connection);
      else pool.closeConnection(connection);
      if (!reply.failure) {
        admission.noteServed(statement, pool.endpoint().id, nowMs() - sentAtMs);
        resolveStatement(statement, toCallOutcome(statement, reply, pool.endpoint().id));
        return;
      }
      const outcome = handleFailure(statement, pool, reply);
      if (outcome) resolveStatement(statement, outcome);
      else requeue(statement);
    } catch (error) {
      if (!(error instanceof MemberConnectionError)) throw error;
      if (connection) pool.closeConnection(connection);
      const unsendable = toUnsendableRefusal(error);
      if (unsendable) {
        resolveStatement(statement, unsendable);
        return;
      }
      const isRetryable = !isSent || call.action === Action.ACTION_READ;
      const isBeforeDeadline = nowMs() < statement.queueDeadlineMs;
      if (isRetryable && isBeforeDeadline) {
        if (isSent) excludeEndpoint(statement, pool);
        else paceAttempts(statement, pool.endpoint().id);
        requeue(statement);
      } else if (isSent) {
        const code = call.action === Action.ACTION_READ ? 'timedOut' : 'inDoubt';
        resolveStatement(statement, createRefusal(code, error.message));
      } else {
        refuseAsBusy(statement, 'attempts', error.message);
      }
    }
  };

  /** Runs a statement of an open transaction on the transaction's connection. */
  const runInTransaction = async (
    statement: PendingStatement,
    openTransaction: OpenTransaction,
  ): Promise<void> => {
    const transaction = openTransaction;
    const { call } = statement;
    const { pool, member: connection } = transaction;
    const isCommit = call.action === Action.ACTION_COMMIT;
    clearTimeout(transaction.idleTimer);
    transaction.isStatementRunning = true;
    let isSent = false;
    try {
      const timeoutTimer = setTimeout(
        () => pool.closeConnection(connection),
        call.statementTimeoutMs,
      );
      await prepareConnection(pool, connection, statement.values, call.prepared);
      clearTimeout(timeoutTimer);
      requireOpen(connection);
      if (call.action === Action.ACTION_WRITE) transaction.hasWritten = true;
      isSent = true;
      const command = buildCommand(statement, connection, undefined);
      const reply = await sendWithTimeout(pool, connection, command, call.statementTimeoutMs);
      transaction.isStatementRunning = false;
      if (!reply.failure) {
        const outcome = toCallOutcome(statement, reply, transaction.endpointId);
        // What is not committed yet is rolled back, so that nothing of it is in doubt.
        const isGivenUp = !isCommit && outcome.kind === 'refused';
        if (isCommit) endTransaction(transaction, reply.state === 'idle');
        else if (isGivenUp) endTransaction(transaction, false);
        else startIdleTimer(transaction);
        resolveStatement(statement, isGivenUp ? createRefusal('aborted', ROLLED_BACK) : outcome);
        return;
      }
      const isRetryable = reply.state === 'open' && reply.failure.kind === 'busy';
      if (isRetryable && nowMs() < statement.queueDeadlineMs) {
        pool.pauseAfterBusy();
        // The statement's queue deadline ends the transaction; its caller is not idle meanwhile.
        paceAttempts(statement, transaction.endpointId);
        queue.add(statement);
        return;
      }
      if (reply.failure.kind === 'readOnly')
        primaryManager.invalidatePrimary(transaction.endpointId);
      endTransaction(transaction, false);
      const mayHaveCommitted =
        isCommit &&
        transaction.hasWritten &&
        memberFailureVerdicts[reply.failure.kind] !== 'notRun';
      resolveStatement(
        statement,
        createRefusal(mayHaveCommitted ? 'inDoubt' : 'aborted', reply.failure.message),
      );
    } catch (error) {
      if (!(error instanceof MemberConnectionError)) throw error;
      transaction.isStatementRunning = false;
      pool.closeConnection(connection);
      endTransaction(transaction, false);
      const mayHaveCommitted = isCommit && isSent && transaction.hasWritten;
      resolveStatement(
        statement,
        toUnsendableRefusal(error) ??
          createRefusal(mayHaveCommitted ? 'inDoubt' : 'aborted', error.message),
      );
    }
  };

  /** Begins a transaction at an endpoint and runs its first statement on the same connection. */
  const begin = async (statement: PendingStatement, pool: MemberPool): Promise<void> => {
    const { call } = statement;
    const endpointId = pool.endpoint().id;
    const isReplica = endpointId !== primaryManager.getKnownPrimary();
    const notBefore = isReplica ? getRequiredPosition(statement) : undefined;
    let connection: PooledConnection | undefined;
    try {
      connection = await pool.acquire(call.account, toValuesKey(statement.values));
      const timeoutTimer = setTimeout(
        () => connection && pool.closeConnection(connection),
        call.statementTimeoutMs,
      );
      await prepareConnection(pool, connection, statement.values, call.prepared);
      if (isPrimaryOnly(statement) && primaryManager.getAvailablePrimary() !== endpointId) {
        clearTimeout(timeoutTimer);
        pool.release(connection);
        requeue(statement);
        return;
      }
      const beginReply = await pool.send(connection, {
        kind: 'begin',
        isReadOnly: call.isReadOnly,
        notBefore,
      });
      clearTimeout(timeoutTimer);
      if (beginReply.failure || beginReply.state !== 'open') {
        if (beginReply.failure?.kind === 'lagging') excludeEndpoint(statement, pool);
        if (beginReply.failure?.kind === 'readOnly') primaryManager.invalidatePrimary(endpointId);
        if (beginReply.failure?.kind === 'busy') pool.pauseAfterBusy();
        pool.closeConnection(connection);
        paceAttempts(statement, endpointId);
        requeue(statement);
        return;
      }
    } catch (error) {
      if (!(error instanceof MemberConnectionError)) throw error;
      if (connection) pool.closeConnection(connection);
      const unsendable = toUnsendableRefusal(error);
      if (unsendable) {
        resolveStatement(statement, unsendable);
        return;
      }
      paceAttempts(statement, endpointId);
      requeue(statement);
      return;
    }
    const transaction: OpenTransaction = {
      id: toTransactionKey(statement.senderId, call.transaction),
      session: call.session,
      endpointId,
      pool,
      member: connection,
      hasWritten: false,
      isStatementRunning: false,
      idleTimer: undefined,
      idleMs: call.transactionIdleMs,
    };
    if (isClosed || statement.isTransactionEnded) {
      pool.closeConnection(connection);
      requeue(statement);
      return;
    }
    transactions.set(transaction.id, transaction);
    const first = statement;
    first.isInTransaction = true;
    await runInTransaction(first, transaction);
  };

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

  const countTransactionsAt = (endpointId: string): number =>
    [...transactions.values()].filter((transaction) => transaction.endpointId === endpointId)
      .length;

  /** Starts or refuses a queued statement; returns false when no endpoint can take it yet. */
  const tryStartStatement = (entry: PendingStatement): boolean => {
    const { call } = entry;
    const transaction = findTransaction(entry);
    if (!transaction && entry.isInTransaction) {
      resolveStatement(entry, createRefusal('aborted', 'the transaction has already ended'));
      return true;
    }
    // A first statement that the endpoint refused as busy finds its transaction open.
    if (transaction) {
      const load = transaction.pool.getLoad(call.account, true);
      if (load.activeStatements > load.slots || isPaused(entry, load)) return false;
      start(entry, transaction.pool, () => runInTransaction(entry, transaction));
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
            countTransactionsAt(id) < maxConnections - RESERVED_SINGLE_STATEMENT_CONNECTIONS,
        )
      : loads;
    const eligibleLoads = entry.pace
      ? openLoads.filter((load) => !isPaused(entry, load))
      : openLoads;
    const notBefore = needsPrimary ? undefined : getRequiredPosition(entry);
    const chosenLoad = chooseStatementEndpoint(
      eligibleLoads,
      { needsPrimary, notBefore, excluded: entry.excludedEndpointIds },
      nowMs(),
    );
    const pool = chosenLoad && pools.get(chosenLoad.id);
    if (!pool) return false;
    start(entry, pool, () => (call.opensTransaction ? begin(entry, pool) : runSingle(entry, pool)));
    return true;
  };

  /** Queries the primary's log position unless a reply or an attempt is recent enough. */
  const samplePositionIfStale = (): void => {
    const primary = primaryManager.getAvailablePrimary();
    const pool = primary === undefined ? undefined : pools.get(primary);
    // Failed samples count too: an immediate retry would find the endpoint in the same state.
    const lastSampleAtMs = Math.max(
      positionHistory.getLatestAskedAtMs() ?? 0,
      lastSampleAttemptAtMs,
    );
    if (!pool || isSampling || nowMs() - lastSampleAtMs < POSITION_SAMPLE_INTERVAL_MS) return;
    isSampling = true;
    lastSampleAttemptAtMs = nowMs();
    const account = queue.first()?.call.account ?? options.controlAccount();
    let sampleConnection: PooledConnection | undefined;
    const timeoutTimer = setTimeout(
      () => sampleConnection && pool.closeConnection(sampleConnection),
      POSITION_SAMPLE_INTERVAL_MS * 4,
    );
    pool
      .acquire(account, '')
      .then(async (connection) => {
        sampleConnection = connection;
        await pool.send(connection, { kind: 'status' });
        pool.release(connection);
      })
      .catch((error) => {
        if (sampleConnection) pool.closeConnection(sampleConnection);
        log.info('position.unknown', { group, endpoint: primary, reason: String(error) });
        setTimeout(scheduleDispatch, POSITION_SAMPLE_INTERVAL_MS);
      })
      .finally(() => {
        clearTimeout(timeoutTimer);
        isSampling = false;
        scheduleDispatch();
      });
  };

  const hasCapacity = (): boolean => [...pools.values()].some((pool) => pool.hasCapacity());

  const refuseHopeless = (statement: PendingStatement): void =>
    refuseAsBusy(
      statement,
      'forecast',
      'no endpoint slot will become free within the queue time limit',
    );

  scheduler.dispatch = () => {
    if (isClosed || queue.size() === 0 || !hasCapacity()) return;
    const notStarted = queue.start({ hasCapacity, tryStart: tryStartStatement });
    if (
      notStarted.some((statement) => !isPrimaryOnly(statement) && !getRequiredPosition(statement))
    )
      samplePositionIfStale();
    admission.findHopeless().filter(queue.remove).forEach(refuseHopeless);
  };

  const expireStatement = (statement: PendingStatement): void => {
    if (!queue.remove(statement)) return;
    const transaction = findTransaction(statement);
    if (transaction) endTransaction(transaction, false);
    const slotReason =
      statement.notRunAttempts > 0
        ? 'no endpoint could run the statement within the queue time limit'
        : 'no endpoint slot became free within the queue time limit';
    const reason = primaryManager.getAvailablePrimary()
      ? slotReason
      : 'the group has no available primary';
    refuseAsBusy(statement, primaryManager.getAvailablePrimary() ? 'expired' : 'noPrimary', reason);
  };

  const createPoolOptions = (id: string) => ({
    dialer,
    log,
    nowMs,
    onChange: () => {
      availableSince.noteHealth(id, pools.get(id)?.isDown() ?? false);
      scheduleDispatch();
    },
    controlAccount: options.controlAccount,
    onReply: (reply: MemberReply, sentAtMs: number) => {
      if (id !== primaryManager.getKnownPrimary() || !reply.position) return;
      primaryManager.notePrimaryPosition(reply.position, sentAtMs);
      positionHistory.record(sentAtMs, reply.position);
    },
  });

  return {
    updateEndpoints: (endpoints: readonly GroupEndpoint[], connectionLimit: number): void => {
      maxConnections = Math.max(1, Math.floor(connectionLimit * OWNER_CONNECTION_RATIO));
      for (const endpoint of endpoints) {
        departed.noteListed(endpoint);
        missingSinceMs.delete(endpoint.id);
        const existingPool = pools.get(endpoint.id);
        const pool = existingPool ?? createMemberPool(endpoint, createPoolOptions(endpoint.id));
        if (!existingPool) {
          log.info('endpoint.found', { group, endpoint: endpoint.id, address: endpoint.address });
          pools.set(endpoint.id, pool);
        } else if (endpoint.isLeaving && !existingPool.endpoint().isLeaving) {
          log.info('endpoint.leaving', { group, endpoint: endpoint.id });
        }
        pool.update(endpoint, maxConnections);
      }
      const listedIds = new Set(endpoints.map(({ id }) => id));
      for (const [id, pool] of pools) {
        if (!listedIds.has(id)) {
          const entryMissingSinceMs = missingSinceMs.get(id) ?? nowMs();
          missingSinceMs.set(id, entryMissingSinceMs);
          if (
            nowMs() - entryMissingSinceMs >= MISSING_ENTRY_GRACE_MS ||
            pool.endpoint().isLeaving
          ) {
            log.info('endpoint.gone', { group, endpoint: id });
            missingSinceMs.delete(id);
            departed.add(pool.endpoint());
            pools.delete(id);
            pool.close();
          }
        }
      }
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
      transactions.has(toTransactionKey(senderId, transactionId)),
    endTransaction: (senderId: string, transactionId: number): void => {
      const key = toTransactionKey(senderId, transactionId);
      const transaction = transactions.get(key);
      const opening = openings.get(key);
      if (transaction) endTransaction(transaction, false);
      if (opening) endOpening(opening);
    },
    /** Rolls back all open transactions of a VM process that is gone. */
    endTransactionsOfSender: (senderId: string): void => {
      [...transactions.values()]
        .filter(({ id }) => id.startsWith(`${senderId}/`))
        .forEach((transaction) => endTransaction(transaction, false));
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
    countOpenTransactions: () => transactions.size,
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
      [...transactions.values()].forEach((transaction) => endTransaction(transaction, false));
      pools.forEach((pool) => pool.close());
    },
  };
};

export default createGroupServer;
