import type RefusalCode from './refusalCode';
import type StatementResult from './statementResult';
import type TransactionState from './transactionState';

/** A caller's open connection, on which its session sends results. */
interface CallerConnection {
  accept(): void;
  /** Refuses the session and closes the connection. */
  refuse(code: RefusalCode, message: string): void;
  sendResult(result: StatementResult, state: TransactionState): void;
  close(): void;
}

export default CallerConnection;
