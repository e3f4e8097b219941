import { laterPosition, type LogPosition } from '@auburngrade/coordination';
import { Action, type PreparedStatement } from '../generated/auburngrade/session/v1/session';
import refused from '../group/refused';
import type CallerConnection from '../seams/callerConnection';
import type CallerSession from '../seams/callerSession';
import type DatabaseRoute from '../seams/databaseRoute';
import type EventLog from '../seams/eventLog';
import type FleetConfiguration from '../seams/fleetConfiguration';
import type SessionStatement from '../seams/sessionStatement';
import type StatementObservation from '../seams/statementObservation';
import type StatementResult from '../seams/statementResult';
import type TransactionState from '../seams/transactionState';
import findCaller from './findCaller';
import type GroupRouter from './groupRouter';

/** Statements that wait behind one that is under way; callers send the next after the answer. */
const MAX_PENDING_STATEMENTS = 64;
/** How long a session that opens waits for the first configuration; callers wait 2 s. */
const CONFIGURATION_WAIT_MS = 1_500;
const CONFIGURATION_POLL_MS = 50;

interface SessionOptions {
  connection: CallerConnection;
  router: GroupRouter;
  log: EventLog;
  nowMs(): number;
  configuration(): FleetConfiguration | undefined;
  /** Numbers sessions and transactions of this process, from 1. */
  nextNumber(): number;
  endSession(session: number): void;
  onStatement(observation: StatementObservation): void;
  onEnd(): void;
}

interface OpenTransaction {
  number: number;
  isReadOnly: boolean;
  /** Its first statement was sent to the group. */
  isBegun: boolean;
  route: DatabaseRoute;
}

const DONE: StatementResult = { kind: 'complete', rows: [], signature: '-' };
const MALFORMED = refused('malformed', 'the statement does not fit here');

/** One caller's session: its values, prepared statements and transaction. */
const createSession = (options: SessionOptions) => {
  const { connection, router, log, nowMs } = options;
  const number = options.nextNumber();
  const values = new Map<string, string>();
  const prepared = new Map<string, { isWrite: boolean; shape: string }>();
  let valuesVersion = 0;
  let database = '';
  let key: string | undefined;
  let account = '';
  let transaction: OpenTransaction | undefined;
  let state: TransactionState = 'idle';
  let ownCommit: LogPosition | undefined;
  let isStarted = false;
  let isEnded = false;
  let isRunning = false;
  const pending: [requestId: string, statement: SessionStatement][] = [];

  const dropTransaction = (): void => {
    if (transaction?.isBegun) router.endTransaction(transaction.number);
    transaction = undefined;
  };

  const end = (): void => {
    if (isEnded) return;
    isEnded = true;
    pending.length = 0;
    dropTransaction();
    options.endSession(number);
    options.onEnd();
  };

  const answer = (result: StatementResult, next: TransactionState): void => {
    state = next;
    if (!isEnded) connection.answer(result, next);
  };

  /** Refuses the whole session: the caller may not use the database any more. */
  const refuseSession = (kind: 'unknownDatabase' | 'unauthenticated'): void => {
    log.info('session.refused', { session: number, reason: kind });
    const message =
      kind === 'unauthenticated' ? 'the key is not valid' : 'there is no such database';
    connection.refuse(kind, message);
    end();
  };

  const currentCaller = () => {
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
    const isFirst = transaction !== undefined && !transaction.isBegun;
    if (transaction) transaction.isBegun = true;
    const arrivedAtMs = nowMs();
    const isInTransaction = transaction !== undefined;
    const result = await router.run(
      {
        group: route.group,
        account,
        session: number,
        valuesVersion,
        requestId,
        action,
        text,
        prepared: statement,
        maxAgeMs: freshness.kind === 'primary' ? undefined : freshness.maxAgeMs,
        notBefore: freshness.kind === 'ownWrites' ? ownCommit : undefined,
        statementTimeoutMs: route.statementTimeoutMs,
        targetLatencyMs: route.targetLatencyMs,
        priority: route.priority,
        transaction: transaction?.number ?? 0,
        opensTransaction: isFirst,
        isReadOnly: transaction?.isReadOnly ?? false,
        transactionIdleMs: options.configuration()?.transactionIdleMs ?? CONFIGURATION_WAIT_MS,
      },
      values,
    );
    const tookMs = nowMs() - arrivedAtMs;
    options.onStatement({ database, account, isInTransaction, result, tookMs });
    return result;
  };

  const runData = async (
    requestId: string,
    isWrite: boolean,
    text: string,
    statement: PreparedStatement | undefined,
    route: DatabaseRoute,
  ): Promise<void> => {
    const action = isWrite ? Action.ACTION_WRITE : Action.ACTION_READ;
    const result = await callGroup(requestId, route, action, text, statement);
    if (isEnded) return;
    if (result.kind === 'complete') {
      if (isWrite && !transaction) ownCommit = laterPosition(ownCommit, result.position);
      answer(result, transaction ? 'open' : 'idle');
    } else if (transaction) {
      dropTransaction();
      answer(result, 'failed');
    } else {
      answer(result, 'idle');
    }
  };

  const runCommit = async (requestId: string, text: string): Promise<void> => {
    if (state === 'failed') {
      dropTransaction();
      answer(refused('aborted', 'the transaction failed before'), 'idle');
      return;
    }
    if (!transaction) {
      answer(MALFORMED, state);
      return;
    }
    const { route, number: ended, isReadOnly } = transaction;
    const result = await callGroup(requestId, route, Action.ACTION_COMMIT, text, undefined);
    if (isEnded) return;
    transaction = undefined;
    if (result.kind === 'complete') {
      router.forget(ended);
      if (!isReadOnly) ownCommit = laterPosition(ownCommit, result.position);
    } else {
      router.endTransaction(ended);
    }
    answer(result, 'idle');
  };

  const runLocal = (statement: SessionStatement, route: DatabaseRoute): void => {
    switch (statement.kind) {
      case 'begin':
        if (transaction) {
          answer(MALFORMED, state);
          return;
        }
        transaction = {
          number: options.nextNumber(),
          isReadOnly: statement.isReadOnly,
          isBegun: false,
          route,
        };
        answer(DONE, 'open');
        return;
      case 'setValue':
        values.set(statement.name, statement.value);
        valuesVersion += 1;
        break;
      case 'prepare':
        prepared.set(statement.name, { isWrite: statement.isWrite, shape: statement.shape });
        break;
      case 'deallocate':
        prepared.delete(statement.name);
        break;
      default:
        answer(MALFORMED, state);
        return;
    }
    answer(DONE, state);
  };

  const runStatement = async (requestId: string, statement: SessionStatement): Promise<void> => {
    const caller = currentCaller();
    // A transaction goes on by the route with which it began, but not with a withdrawn key.
    if (
      !caller ||
      (caller.kind !== 'found' && !(transaction && caller.kind === 'unknownDatabase'))
    ) {
      refuseSession(caller?.kind === 'unknownDatabase' ? 'unknownDatabase' : 'unauthenticated');
      return;
    }
    const route = transaction?.route ?? (caller.kind === 'found' ? caller.route : undefined);
    if (caller.kind === 'found') account = caller.account;
    if (statement.kind === 'rollback') {
      const wasOpen = state !== 'idle';
      dropTransaction();
      answer(wasOpen ? DONE : MALFORMED, 'idle');
    } else if (statement.kind === 'commit') {
      await runCommit(requestId, statement.text);
    } else if (state === 'failed' || !route) {
      answer(MALFORMED, state);
    } else if (statement.kind === 'read' || statement.kind === 'write') {
      await runData(requestId, statement.kind === 'write', statement.text, undefined, route);
    } else if (statement.kind === 'execute') {
      const known = prepared.get(statement.name);
      if (!known) {
        if (transaction) dropTransaction();
        const next = state === 'open' ? 'failed' : state;
        answer(refused('noStatement', 'there is no prepared statement of that name'), next);
        return;
      }
      const { argumentsText } = statement;
      await runData(requestId, known.isWrite, '', { ...known, argumentsText }, route);
    } else {
      runLocal(statement, route);
    }
  };

  const runPending = async (): Promise<void> => {
    if (isRunning) return;
    isRunning = true;
    while (!isEnded) {
      const next = pending.shift();
      if (!next) break;
      try {
        await runStatement(...next);
      } catch (error) {
        log.warn('session.broken', { session: number, request: next[0], reason: String(error) });
        connection.close();
        end();
      }
    }
    isRunning = false;
  };

  const open = (untilMs: number): void => {
    if (isEnded) return;
    const caller = currentCaller();
    if (!caller) {
      if (nowMs() < untilMs) {
        setTimeout(() => open(untilMs), CONFIGURATION_POLL_MS);
      } else {
        connection.refuse('busy', 'there is no configuration yet, retry in 1000 ms');
        end();
      }
    } else if (caller.kind !== 'found') {
      refuseSession(caller.kind);
    } else {
      account = caller.account;
      isStarted = true;
      connection.accept();
      runPending();
    }
  };

  const session: CallerSession = {
    start: (name, givenKey) => {
      database = name;
      key = givenKey;
      open(nowMs() + CONFIGURATION_WAIT_MS);
    },
    run: (requestId, statement) => {
      if (isEnded) return;
      if (pending.length >= MAX_PENDING_STATEMENTS) {
        connection.refuse('malformed', 'too many statements are outstanding');
        end();
        return;
      }
      pending.push([requestId, statement]);
      if (isStarted) runPending();
    },
    end,
  };

  const isIdle = (): boolean =>
    isStarted && !isEnded && state === 'idle' && !isRunning && pending.length === 0;

  return {
    session,
    isIdle,
    /** Closes the session when its caller may not use the database any more and it is idle. */
    review: (): void => {
      if (!isIdle()) return;
      const caller = currentCaller();
      if (caller && caller.kind !== 'found') {
        log.info('session.closed', { session: number, reason: caller.kind });
        connection.close();
        end();
      }
    },
    closeIfIdle: (): void => {
      if (!isIdle()) return;
      connection.close();
      end();
    },
    /** Ends an open transaction; its next statement is refused. */
    endTransaction: (): void => {
      if (transaction?.isBegun && !isRunning) router.endTransaction(transaction.number);
    },
    abort: (): void => {
      connection.close();
      end();
    },
  };
};

export default createSession;
