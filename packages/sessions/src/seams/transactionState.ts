/** Transaction state of a session: no transaction, an open one, or one that can only roll back. */
type TransactionState = 'idle' | 'open' | 'failed';

export default TransactionState;
