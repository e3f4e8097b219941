import type SessionStatement from '../seams/sessionStatement';
import type TransactionState from '../seams/transactionState';

/** The state of a session after a refused statement, whose transaction, if any, is rolled back. */
const findStateAfterRefusal = (
  { kind }: SessionStatement,
  state: TransactionState,
): TransactionState =>
  state === 'idle' || kind === 'commit' || kind === 'rollback' ? 'idle' : 'failed';

export default findStateAfterRefusal;
