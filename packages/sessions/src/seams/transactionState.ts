/** State of a session between statements. */
type TransactionState = 'idle' | 'open' | 'failed';

export default TransactionState;
