/** How far an interactive transaction has come. */
interface TransactionProgress {
  phase: 'new' | 'open' | 'ended';
  /** Number of the last step that was taken. */
  lastStep: number;
}

export default TransactionProgress;
