/** A statement queued for a slot. Times are on this process's monotonic clock, in ms. */
interface QueuedStatement {
  /** Part of a transaction that already holds a connection. */
  isInTransaction: boolean;
  arrivedAtMs: number;
  /** Time by which the statement should have completed. */
  targetAtMs: number;
  priority: number;
}

export default QueuedStatement;
