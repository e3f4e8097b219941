import type RefusalCode from './refusalCode';
import type StatementResult from './statementResult';
import type TransactionState from './transactionState';

/** A caller's open connection, on which its session sends results. */
interface CallerConnection {
  accept(account: string): void;
  /** Refuses the session before it has started, or after a protocol error, and closes the connection. */
  refuse(code: RefusalCode, message: string): void;
  sendResult(result: StatementResult, state: TransactionState): void;
  /**
   * Sends an error that answers no statement, on which the caller closes the connection. A caller whose statement
   * was under way takes it for the first part of that statement's answer.
   */
  announceClose(code: RefusalCode, message: string): void;
  /** Ends the answer of a statement whose refusal was the announced close. */
  completeAnnouncedRefusal(state: TransactionState): void;
  /** Tells how many bytes of values and prepared statements the session keeps for its caller. */
  holdState(byteCount: number): void;
  close(): void;
}

export default CallerConnection;
