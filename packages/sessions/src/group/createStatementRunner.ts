import type { LogPosition } from '@auburngrade/coordination';
import { Action } from '../generated/auburngrade/session/v1/session';
import type MemberCommand from '../seams/memberCommand';
import MemberConnectionError from '../seams/memberConnectionError';
import type MemberReply from '../seams/memberReply';
import type AdmissionRefusal from './admissionRefusal';
import type CallOutcome from './callOutcome';
import createRefusal from './createRefusal';
import type createReplyOutcomes from './createReplyOutcomes';
import isPrimaryOnly from './isPrimaryOnly';
import memberFailureVerdicts from './memberFailureVerdicts';
import type MemberPool from './memberPool';
import type OpenTransaction from './openTransaction';
import type OpenTransactions from './openTransactions';
import type PendingStatement from './pendingStatement';
import type PooledConnection from './pooledConnection';
import prepareConnection from './prepareConnection';
import type PrimaryManager from './primaryManager';
import toTransactionKey from './toTransactionKey';
import toUnsendableRefusal from './toUnsendableRefusal';
import toValuesKey from './toValuesKey';

/** Timeout of a read's first attempts, several times the usual latency; then it runs elsewhere. */
const SHORT_READ_TIMEOUT_MS = 400;
/** Read attempts with the short timeout; later ones get the statement's full time limit. */
const MAX_SHORT_READ_ATTEMPTS = 2;

const ROLLED_BACK = 'the transaction was rolled back: the primary may have been replaced';

interface StatementRunnerOptions {
  primaryManager: PrimaryManager;
  transactions: OpenTransactions;
  outcomes: ReturnType<typeof createReplyOutcomes>;
  nowMs(): number;
  isClosed(): boolean;
  getRequiredPosition(statement: PendingStatement): LogPosition | undefined;
  resolveStatement(statement: PendingStatement, outcome: CallOutcome): void;
  /** Queues a statement that did not run again, or refuses it. */
  requeue(statement: PendingStatement): void;
  /** Refuses a statement that did not run, and says when its caller should try again. */
  refuseAsBusy(statement: PendingStatement, kind: AdmissionRefusal, reason: string): void;
  noteServed(statement: PendingStatement, endpointId: string, tookMs: number): void;
  /** Delays the next attempt at an endpoint where the statement did not run. */
  paceAttempts(statement: PendingStatement, endpointId: string): void;
  /** Queues a statement of an open transaction again that the endpoint refused as busy. */
  retryInTransaction(statement: PendingStatement): void;
}

const buildCommand = (
  { call }: PendingStatement,
  preparedName: string | undefined,
  notBefore: LogPosition | undefined,
): MemberCommand => {
  const { requestId, text, prepared } = call;
  if (!prepared || preparedName === undefined)
    return { kind: 'forward', requestId, text, notBefore };
  const { argumentsText } = prepared;
  return { kind: 'execute', requestId, name: preparedName, argumentsText, notBefore };
};

/** Call right before a statement is sent: one that meets an ended connection does not leave this VM. */
const requireOpen = (pool: MemberPool, { isEnded }: PooledConnection): void => {
  if (isEnded || !pool.use().isContacted)
    throw new MemberConnectionError('broken', 'the connection ended before the statement was sent');
};

/** Runs statements at an endpoint, each alone or in its transaction, and answers or requeues them. */
const createStatementRunner = (options: StatementRunnerOptions) => {
  const { primaryManager, transactions, outcomes, nowMs } = options;

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
    const notBefore = isPrimaryOnly(statement) ? undefined : options.getRequiredPosition(statement);
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
      const name = await prepareConnection(pool, connection, statement.values, call.prepared);
      clearTimeout(timeoutTimer);
      if (isPrimaryOnly(statement) && primaryManager.getAvailablePrimary() !== pool.endpoint().id) {
        pool.release(connection);
        options.requeue(statement);
        return;
      }
      requireOpen(pool, connection);
      isSent = true;
      sentStatement.hasBeenSent = true;
      const command = buildCommand(statement, name, isReplica ? notBefore : undefined);
      const isShortAttempt =
        call.action === Action.ACTION_READ && statement.attempts <= MAX_SHORT_READ_ATTEMPTS;
      const timeoutMs = isShortAttempt ? SHORT_READ_TIMEOUT_MS : call.statementTimeoutMs;
      const sentAtMs = nowMs();
      const reply = await sendWithTimeout(pool, connection, command, timeoutMs);
      // What is prepared on the connection is unknown once a statement is missing there.
      const isReusable = reply.state === 'idle' && reply.failure?.kind !== 'noStatement';
      if (isReusable) pool.release(connection);
      else pool.closeConnection(connection);
      if (!reply.failure) {
        options.noteServed(statement, pool.endpoint().id, nowMs() - sentAtMs);
        options.resolveStatement(
          statement,
          outcomes.toCallOutcome(statement, reply, pool.endpoint().id),
        );
        return;
      }
      const outcome = outcomes.handleFailure(statement, pool, reply);
      if (outcome) options.resolveStatement(statement, outcome);
      else options.requeue(statement);
    } catch (error) {
      if (!(error instanceof MemberConnectionError)) throw error;
      if (connection) pool.closeConnection(connection);
      const unsendable = toUnsendableRefusal(error);
      if (unsendable) {
        options.resolveStatement(statement, unsendable);
        return;
      }
      const isRetryable = !isSent || call.action === Action.ACTION_READ;
      const isBeforeDeadline = nowMs() < statement.queueDeadlineMs;
      if (isRetryable && isBeforeDeadline) {
        if (isSent) outcomes.excludeEndpoint(statement, pool);
        else options.paceAttempts(statement, pool.endpoint().id);
        options.requeue(statement);
      } else if (isSent) {
        const code = call.action === Action.ACTION_READ ? 'timedOut' : 'inDoubt';
        options.resolveStatement(statement, createRefusal(code, error.message));
      } else {
        options.refuseAsBusy(statement, 'attempts', error.message);
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
      const name = await prepareConnection(pool, connection, statement.values, call.prepared);
      clearTimeout(timeoutTimer);
      requireOpen(pool, connection);
      if (call.action === Action.ACTION_WRITE) transaction.hasWritten = true;
      isSent = true;
      const command = buildCommand(statement, name, undefined);
      const reply = await sendWithTimeout(pool, connection, command, call.statementTimeoutMs);
      transaction.isStatementRunning = false;
      if (!reply.failure) {
        const outcome = outcomes.toCallOutcome(statement, reply, transaction.endpointId);
        // What is not committed yet is rolled back, so that nothing of it is in doubt.
        const isGivenUp = !isCommit && outcome.kind === 'refused';
        if (isCommit) transactions.end(transaction, reply.state === 'idle');
        else if (isGivenUp) transactions.end(transaction, false);
        else transactions.startIdleTimer(transaction);
        options.resolveStatement(
          statement,
          isGivenUp ? createRefusal('aborted', ROLLED_BACK) : outcome,
        );
        return;
      }
      const isRetryable = reply.state === 'open' && reply.failure.kind === 'busy';
      if (isRetryable && nowMs() < statement.queueDeadlineMs) {
        pool.pauseAfterBusy();
        // The statement's queue deadline ends the transaction; its caller is not idle meanwhile.
        options.paceAttempts(statement, transaction.endpointId);
        options.retryInTransaction(statement);
        return;
      }
      if (reply.failure.kind === 'readOnly')
        primaryManager.invalidatePrimary(transaction.endpointId);
      transactions.end(transaction, false);
      const mayHaveCommitted =
        isCommit &&
        transaction.hasWritten &&
        memberFailureVerdicts[reply.failure.kind] !== 'notRun';
      options.resolveStatement(
        statement,
        createRefusal(mayHaveCommitted ? 'inDoubt' : 'aborted', reply.failure.message),
      );
    } catch (error) {
      if (!(error instanceof MemberConnectionError)) throw error;
      transaction.isStatementRunning = false;
      pool.closeConnection(connection);
      transactions.end(transaction, false);
      const mayHaveCommitted = isCommit && isSent && transaction.hasWritten;
      options.resolveStatement(
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
    const notBefore = isReplica ? options.getRequiredPosition(statement) : undefined;
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
        options.requeue(statement);
        return;
      }
      const beginReply = await pool.send(connection, {
        kind: 'begin',
        isReadOnly: call.isReadOnly,
        notBefore,
      });
      clearTimeout(timeoutTimer);
      if (beginReply.failure || beginReply.state !== 'open') {
        if (beginReply.failure?.kind === 'lagging') outcomes.excludeEndpoint(statement, pool);
        if (beginReply.failure?.kind === 'readOnly') primaryManager.invalidatePrimary(endpointId);
        if (beginReply.failure?.kind === 'busy') pool.pauseAfterBusy();
        pool.closeConnection(connection);
        options.paceAttempts(statement, endpointId);
        options.requeue(statement);
        return;
      }
    } catch (error) {
      if (!(error instanceof MemberConnectionError)) throw error;
      if (connection) pool.closeConnection(connection);
      const unsendable = toUnsendableRefusal(error);
      if (unsendable) {
        options.resolveStatement(statement, unsendable);
        return;
      }
      options.paceAttempts(statement, endpointId);
      options.requeue(statement);
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
    if (options.isClosed() || statement.isTransactionEnded) {
      pool.closeConnection(connection);
      options.requeue(statement);
      return;
    }
    transactions.add(transaction);
    const first = statement;
    first.isInTransaction = true;
    await runInTransaction(first, transaction);
  };

  return { runSingle, runInTransaction, begin };
};

export default createStatementRunner;
