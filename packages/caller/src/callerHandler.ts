import type { Outcome, Statement } from './generated/auburngrade/caller/v1/caller';
import type TransactionHandler from './transactionHandler';

/** Handles the calls of the Proxy service; `key` is the bearer key of the request's metadata, if any. */
abstract class CallerHandler {
  /** Runs one statement. Never rejects: refusals are part of the outcome. */
  abstract execute(statement: Statement, key: string | undefined): Promise<Outcome>;

  abstract openTransaction(key: string | undefined): TransactionHandler;
}

export default CallerHandler;
