/** Progress of an interactive transaction, as checked by `acceptStep`. */
interface TransactionProgress {
  phase: 'new' | 'open' | 'ended';
  /** Number of the last accepted step; 0 before the first. */
  lastStep: number;
}

export default TransactionProgress;
