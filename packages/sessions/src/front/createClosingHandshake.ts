import type CallerConnection from '../seams/callerConnection';
import type EventLog from '../seams/eventLog';
import type RefusalCode from '../seams/refusalCode';
import type SessionStatement from '../seams/sessionStatement';
import type StatementResult from '../seams/statementResult';
import type TransactionState from '../seams/transactionState';
import createRefusal from '../group/createRefusal';
import findStateAfterRefusal from './findStateAfterRefusal';

/** Time for the caller to close the connection after the announcement, several times a round trip. */
const CALLER_CLOSE_TIMEOUT_MS = 1_000;

interface ClosingHandshakeOptions {
  connection: CallerConnection;
  session: number;
  log: EventLog;
  /** Called when the caller did not close the connection in time. */
  onTimeout(): void;
}

const ROLLED_BACK: StatementResult = { kind: 'complete', rows: [], signature: '-' };

/**
 * Closes a session from this side without leaving a statement unanswered. The caller is sent an announcement, an
 * error that answers no statement, and closes the connection. To a caller whose next statement was under way
 * already, the announcement is that statement's refusal. The statement does not run, only the end of its answer is
 * sent, and the close is announced again.
 */
const createClosingHandshake = (options: ClosingHandshakeOptions) => {
  const { connection, log } = options;
  let refusal: { code: RefusalCode; message: string } | undefined;
  let isAnnounced = false;
  let timer: NodeJS.Timeout | undefined;

  /** Input that came in time, but that a late timer would overtake, is read first. */
  const restartTimer = (): void => {
    clearTimeout(timer);
    const started = setTimeout(
      () => setImmediate(() => timer === started && options.onTimeout()),
      CALLER_CLOSE_TIMEOUT_MS,
    );
    timer = started;
  };

  const announce = (code: RefusalCode, message: string): void => {
    isAnnounced = true;
    connection.announceClose(code, message);
  };

  return {
    hasStarted: (): boolean => refusal !== undefined,
    /** Call once, when no statement is outstanding. All later ones are refused with the code and message. */
    start: (code: RefusalCode, message: string, state: TransactionState): void => {
      log.info('session.closing', { session: options.session, code, reason: message, state });
      refusal = { code, message };
      restartTimer();
      // In a failed transaction the caller's rollback comes next.
      if (state !== 'failed') announce(code, message);
    },
    /** Refuses a statement that arrived since the start; returns the state that its answer told the caller. */
    answer: (
      requestId: string,
      statement: SessionStatement,
      state: TransactionState,
    ): TransactionState => {
      if (!refusal) return state;
      restartTimer();
      const { code, message } = refusal;
      const nextState = findStateAfterRefusal(statement, state);
      log.info('request.closing', {
        request: requestId,
        session: options.session,
        code,
        isCrossed: isAnnounced,
      });
      if (isAnnounced) {
        isAnnounced = false;
        connection.completeAnnouncedRefusal(nextState);
      } else if (statement.kind === 'rollback' && state !== 'idle') {
        connection.sendResult(ROLLED_BACK, nextState);
      } else {
        connection.sendResult(createRefusal(code, message), nextState);
      }
      if (nextState === 'idle') announce(code, message);
      return nextState;
    },
    /** Call when the session has ended. */
    end: (): void => {
      clearTimeout(timer);
      timer = undefined;
    },
  };
};

export default createClosingHandshake;
