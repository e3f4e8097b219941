import type { Outcome, Statement } from './generated/auburngrade/caller/v1/caller';
import type TransactionHandler from './transactionHandler';

/** What a VM does for its callers. `key` is the secret of the request's metadata, if any. */
abstract class CallerHandler {
  /** Never rejects: refusals are part of the outcome. */
  abstract execute(statement: Statement, key: string | undefined): Promise<Outcome>;

  abstract openTransaction(key: string | undefined): TransactionHandler;
}

export default CallerHandler;
