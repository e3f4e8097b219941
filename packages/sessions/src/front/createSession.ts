import { maxPosition, type LogPosition } from '@auburngrade/coordination';
import { Action, type PreparedStatement } from '../generated/auburngrade/session/v1/session';
import createRefusal from '../group/createRefusal';
import type CallerConnection from '../seams/callerConnection';
import type CallerSession from '../seams/callerSession';
import type DatabaseRoute from '../seams/databaseRoute';
import type EventLog from '../seams/eventLog';
import type RefusalCode from '../seams/refusalCode';
import type FleetConfiguration from '../seams/fleetConfiguration';
import type SessionStatement from '../seams/sessionStatement';
import type StatementObservation from '../seams/statementObservation';
import type StatementResult from '../seams/statementResult';
import type TransactionState from '../seams/transactionState';
import createClosingHandshake from './createClosingHandshake';
import createSessionState from './createSessionState';
import findCaller from './findCaller';
import findStateAfterRefusal from './findStateAfterRefusal';
import type GroupRouter from './groupRouter';

/** Limit of queued statements per session; callers normally send the next one after the answer. */
const MAX_PENDING_STATEMENTS = 64;
/** How long a new session waits for the first configuration; callers themselves wait for 2 s. */
const CONFIGURATION_WAIT_MS = 1_500;
const CONFIGURATION_POLL_MS = 50;
/** A caller that was accepted or answered within this time is likely to send its next statement. */
const MIN_IDLE_MS = 200;

interface SessionOptions {
  connection: CallerConnection;
  router: GroupRouter;
  log: EventLog;
  nowMs(): number;
  configuration(): FleetConfiguration | undefined;
  /** Whether the VM takes new sessions; it stops doing so some time before its process ends. */
  isAcceptingSessions(): boolean;
  /** Returns ids for sessions and transactions, unique in this process and starting from 1. */
  nextId(): number;
  endSession(session: number): void;
  onStatement(observation: StatementObservation): void;
  onEnd(): void;
}

interface OpenTransaction {
  id: number;
  isReadOnly: boolean;
  /** Whether its first statement was sent to the group. */
  isSentToGroup: boolean;
  route: DatabaseRoute;
}

const SHUTDOWN_MESSAGE = 'this VM is shutting down; retry in 100 ms';
const ACCESS_MESSAGES = {
  unauthenticated: 'the access key is not valid',
  unknownDatabase: 'the database does not exist',
} as const;
const COMPLETE: StatementResult = { kind: 'complete', rows: [], signature: '-' };
const INVALID_IN_STATE = createRefusal(
  'malformed',
  'the statement is not valid in the current state of the transaction',
);

/** Runs one caller's session in order, with its session values, prepared statements and transaction. */
const createSession = (options: SessionOptions) => {
  const { connection, router, log, nowMs } = options;
  const sessionId = options.nextId();
  const state = createSessionState(connection.holdState);
  let database = '';
  let key: string | undefined;
  let account = '';
  let transaction: OpenTransaction | undefined;
  let transactionState: TransactionState = 'idle';
  let lastCommitPosition: LogPosition | undefined;
  let isStarted = false;
  let isEnded = false;
  let endReason: string | undefined;
  let isRunning = false;
  /** Why the session is to end before its next statement. */
  let closeReason: string | undefined;
  /** The statement under way; the last one while none is. */
  let current: [requestId: string, statement: SessionStatement] | undefined;
  let lastActiveAtMs = nowMs();
  const pendingStatements: [requestId: string, statement: SessionStatement][] = [];
  /** `onTimeout` is set below, after the function that ends the session. */
  const hooks = { onCloseTimeout: (): void => undefined };
  const closing = createClosingHandshake({
    connection,
    session: sessionId,
    log,
    onTimeout: () => hooks.onCloseTimeout(),
  });

  const discardTransaction = (): void => {
    if (transaction?.isSentToGroup) router.endTransaction(transaction.id);
    transaction = undefined;
  };

  const end = (reason: string): void => {
    if (isEnded) return;
    isEnded = true;
    endReason = reason;
    if (!closing.hasStarted() && (isRunning || pendingStatements.length > 0)) {
      log.info('session.cut', {
        session: sessionId,
        reason,
        request: isRunning ? current?.[0] : undefined,
        pending: pendingStatements.map(([requestId]) => requestId),
      });
    }
    pendingStatements.length = 0;
    closing.end();
    discardTransaction();
    options.endSession(sessionId);
    options.onEnd();
  };

  const close = (reason: string): void => {
    connection.close();
    end(reason);
  };
  hooks.onCloseTimeout = () => close('the caller did not close the connection');

  const answer = (result: StatementResult, nextState: TransactionState): void => {
    transactionState = nextState;
    lastActiveAtMs = nowMs();
    if (!isEnded) connection.sendResult(result, nextState);
  };

  /** Refuses a session that has not started. */
  const refuseStart = (code: RefusalCode, message: string): void => {
    log.info('session.refused', { session: sessionId, reason: code, message });
    connection.refuse(code, message);
    end(message);
  };

  /** Refuses all further statements and has the caller close the connection. */
  const startClosing = (code: RefusalCode, message: string): void => {
    discardTransaction();
    closing.start(code, message, transactionState);
  };

  /** Ends the session at the request of this VM, with its open transaction. */
  const startRequestedClosing = (reason: string): void =>
    startClosing(transactionState === 'idle' ? 'busy' : 'aborted', `${reason}; retry in 100 ms`);

  const refuseClosing = (requestId: string, statement: SessionStatement): void => {
    transactionState = closing.answer(requestId, statement, transactionState);
  };

  const changesData = (statement: SessionStatement): boolean =>
    statement.kind === 'write' ||
    (statement.kind === 'execute' && state.findPrepared(statement.name)?.isWrite === true);

  const lookUpCaller = () => {
    const configuration = options.configuration();
    return configuration && findCaller(configuration, database, key);
  };

  const callGroup = async (
    requestId: string,
    route: DatabaseRoute,
    action: Action,
    text: string,
    statement: PreparedStatement | undefined,
  ): Promise<StatementResult> => {
    const { freshness } = route;
    const isFirstInTransaction = transaction !== undefined && !transaction.isSentToGroup;
    if (transaction) transaction.isSentToGroup = true;
    const startedAtMs = nowMs();
    const isInTransaction = transaction !== undefined;
    const result = await router.run(
      {
        group: route.group,
        account,
        session: sessionId,
        valuesVersion: state.valuesVersion(),
        requestId,
        action,
        text,
        prepared: statement,
        maxAgeMs: freshness.kind === 'primary' ? undefined : freshness.maxAgeMs,
        notBefore: freshness.kind === 'ownWrites' ? lastCommitPosition : undefined,
        statementTimeoutMs: route.statementTimeoutMs,
        targetLatencyMs: route.targetLatencyMs,
        priority: route.priority,
        transaction: transaction?.id ?? 0,
        opensTransaction: isFirstInTransaction,
        isReadOnly: transaction?.isReadOnly ?? false,
        transactionIdleMs: options.configuration()?.transactionIdleMs ?? CONFIGURATION_WAIT_MS,
      },
      state.values(),
    );
    const tookMs = nowMs() - startedAtMs;
    options.onStatement({ database, account, isInTransaction, result, tookMs });
    return result;
  };

  const runGroupStatement = async (
    requestId: string,
    isWrite: boolean,
    text: string,
    statement: PreparedStatement | undefined,
    route: DatabaseRoute,
  ): Promise<void> => {
    const action = isWrite ? Action.ACTION_WRITE : Action.ACTION_READ;
    const result = await callGroup(requestId, route, action, text, statement);
    if (isEnded || closing.hasStarted()) return;
    if (result.kind === 'complete') {
      if (isWrite && !transaction)
        lastCommitPosition = maxPosition(lastCommitPosition, result.position);
      answer(result, transaction ? 'open' : 'idle');
    } else if (transaction) {
      discardTransaction();
      answer(result, 'failed');
    } else {
      answer(result, 'idle');
    }
  };

  const runCommit = async (requestId: string, text: string): Promise<void> => {
    if (transactionState === 'failed') {
      discardTransaction();
      answer(createRefusal('aborted', 'an earlier statement of the transaction failed'), 'idle');
      return;
    }
    if (!transaction) {
      answer(INVALID_IN_STATE, transactionState);
      return;
    }
    const { route, id: endedTransaction, isReadOnly } = transaction;
    const result = await callGroup(requestId, route, Action.ACTION_COMMIT, text, undefined);
    if (isEnded || closing.hasStarted()) return;
    transaction = undefined;
    if (result.kind === 'complete') {
      router.forgetTransaction(endedTransaction);
      if (!isReadOnly) lastCommitPosition = maxPosition(lastCommitPosition, result.position);
    } else {
      router.endTransaction(endedTransaction);
    }
    answer(result, 'idle');
  };

  const runSessionStatement = (statement: SessionStatement, route: DatabaseRoute): void => {
    switch (statement.kind) {
      case 'begin':
        if (transaction) {
          answer(INVALID_IN_STATE, transactionState);
          return;
        }
        transaction = {
          id: options.nextId(),
          isReadOnly: statement.isReadOnly,
          isSentToGroup: false,
          route,
        };
        answer(COMPLETE, 'open');
        return;
      case 'setValue':
        state.setValue(statement.name, statement.value);
        break;
      case 'prepare':
        state.prepare(statement.name, { isWrite: statement.isWrite, shape: statement.shape });
        break;
      case 'deallocate':
        state.deallocate(statement.name);
        break;
      default:
        answer(INVALID_IN_STATE, transactionState);
        return;
    }
    answer(COMPLETE, transactionState);
  };

  const runStatement = async (requestId: string, statement: SessionStatement): Promise<void> => {
    if (closing.hasStarted()) {
      refuseClosing(requestId, statement);
      return;
    }
    const caller = lookUpCaller();
    // An open transaction keeps its route if the database is removed, but ends if the key is withdrawn.
    if (
      !caller ||
      (caller.kind !== 'found' && !(transaction && caller.kind === 'unknownDatabase'))
    ) {
      const code = caller?.kind === 'unknownDatabase' ? 'unknownDatabase' : 'unauthenticated';
      discardTransaction();
      answer(
        createRefusal(code, ACCESS_MESSAGES[code]),
        findStateAfterRefusal(statement, transactionState),
      );
      startClosing(code, ACCESS_MESSAGES[code]);
      return;
    }
    const route = transaction?.route ?? (caller.kind === 'found' ? caller.route : undefined);
    if (caller.kind === 'found') account = caller.account;
    if (statement.kind === 'rollback') {
      const wasInTransaction = transactionState !== 'idle';
      discardTransaction();
      answer(wasInTransaction ? COMPLETE : INVALID_IN_STATE, 'idle');
    } else if (statement.kind === 'commit') {
      await runCommit(requestId, statement.text);
    } else if (transactionState === 'failed' || !route) {
      answer(INVALID_IN_STATE, transactionState);
    } else if (statement.kind === 'read' || statement.kind === 'write') {
      await runGroupStatement(
        requestId,
        statement.kind === 'write',
        statement.text,
        undefined,
        route,
      );
    } else if (statement.kind === 'execute') {
      const preparedStatement = state.findPrepared(statement.name);
      if (!preparedStatement) {
        if (transaction) discardTransaction();
        const nextState = transactionState === 'open' ? 'failed' : transactionState;
        answer(
          createRefusal('noStatement', 'no prepared statement of that name exists in the session'),
          nextState,
        );
        return;
      }
      const { argumentsText } = statement;
      await runGroupStatement(
        requestId,
        preparedStatement.isWrite,
        '',
        { ...preparedStatement, argumentsText },
        route,
      );
    } else {
      runSessionStatement(statement, route);
    }
  };

  /** Answers a statement whose result will not be known here; a transaction without its commit is rolled back. */
  const answerUnfinished = (statement: SessionStatement, reason: string): void => {
    const isCommit = statement.kind === 'commit';
    const mayHaveCommitted = isCommit || (transaction === undefined && changesData(statement));
    const failure = transaction === undefined ? 'failed' : 'aborted';
    discardTransaction();
    answer(
      createRefusal(mayHaveCommitted ? 'inDoubt' : failure, reason),
      findStateAfterRefusal(statement, transactionState),
    );
  };

  const runPendingStatements = async (): Promise<void> => {
    if (isRunning) return;
    isRunning = true;
    while (!isEnded) {
      const next = pendingStatements.shift();
      if (!next) break;
      current = next;
      try {
        await runStatement(...next);
      } catch (error) {
        log.warn('session.broken', { session: sessionId, request: next[0], reason: String(error) });
        if (!closing.hasStarted()) {
          answerUnfinished(next[1], 'an unexpected error occurred');
          startClosing('busy', 'the session ended by an unexpected error; retry in 100 ms');
        }
      }
      if (closeReason !== undefined && !isEnded && !closing.hasStarted())
        startRequestedClosing(closeReason);
    }
    isRunning = false;
  };

  const stop = (code: RefusalCode, message: string): void => {
    if (!isStarted || isEnded || closing.hasStarted()) return;
    const unstarted = pendingStatements.splice(0);
    if (isRunning && current) answerUnfinished(current[1], message);
    startClosing(code, message);
    unstarted.forEach(([requestId, statement]) => refuseClosing(requestId, statement));
  };

  const openWhenConfigured = (deadlineMs: number): void => {
    if (isEnded) return;
    const caller = lookUpCaller();
    if (!options.isAcceptingSessions()) {
      refuseStart('busy', SHUTDOWN_MESSAGE);
    } else if (!caller) {
      if (nowMs() < deadlineMs) {
        setTimeout(() => openWhenConfigured(deadlineMs), CONFIGURATION_POLL_MS);
      } else {
        refuseStart('busy', 'this VM has not received its configuration yet; retry in 1000 ms');
      }
    } else if (caller.kind !== 'found') {
      refuseStart(caller.kind, ACCESS_MESSAGES[caller.kind]);
    } else {
      account = caller.account;
      isStarted = true;
      lastActiveAtMs = nowMs();
      connection.accept(account);
      runPendingStatements();
    }
  };

  const session: CallerSession = {
    start: (name, givenKey) => {
      database = name;
      key = givenKey;
      openWhenConfigured(nowMs() + CONFIGURATION_WAIT_MS);
    },
    run: (requestId, statement) => {
      if (isEnded) {
        log.warn('request.dropped', { request: requestId, session: sessionId, reason: endReason });
        return;
      }
      if (pendingStatements.length >= MAX_PENDING_STATEMENTS) {
        stop('malformed', 'the session has too many queued statements');
        refuseClosing(requestId, statement);
        return;
      }
      if (closing.hasStarted()) {
        refuseClosing(requestId, statement);
        return;
      }
      pendingStatements.push([requestId, statement]);
      if (isStarted) runPendingStatements();
    },
    fail: (code, message) => {
      if (isEnded) return;
      if (isStarted) {
        stop(code, message);
        close(message);
      } else {
        refuseStart(code, message);
      }
    },
    end: () => end('closed by the caller'),
  };

  /** Whether the caller waits for no answer, as far as its statements have arrived. */
  const isWaiting = (): boolean =>
    isStarted && !isEnded && !closing.hasStarted() && !isRunning && pendingStatements.length === 0;

  const isIdle = (): boolean => isWaiting() && transactionState === 'idle';

  return {
    session,
    isIdle,
    /** Closes an idle session whose caller may no longer use the database. */
    closeIfAccessRevoked: (): void => {
      if (!isIdle()) return;
      const caller = lookUpCaller();
      if (caller && caller.kind !== 'found')
        startClosing(caller.kind, ACCESS_MESSAGES[caller.kind]);
    },
    /** Closes a session that is at rest, so that its caller goes to another VM. */
    closeIfIdle: (reason: string): void => {
      if (isIdle() && nowMs() - lastActiveAtMs >= MIN_IDLE_MS) startRequestedClosing(reason);
    },
    /** Closes a session now or after the statement under way, and rolls its open transaction back. */
    closeBetweenStatements: (reason: string): void => {
      closeReason = reason;
      if (isWaiting()) startRequestedClosing(reason);
    },
    /** Answers each outstanding statement with what is known of it, and closes the session. */
    stop: (reason: string): void => stop('busy', `${reason}; retry in 100 ms`),
    /** Closes the connection at once. A caller whose first message may be under way is refused. */
    abort: (): void => {
      if (isStarted) close('the VM stops');
      else refuseStart('busy', SHUTDOWN_MESSAGE);
    },
  };
};

export default createSession;
