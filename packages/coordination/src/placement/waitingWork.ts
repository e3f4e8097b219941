/** A statement that waits for a slot. Times are on the VM's steady clock, in ms. */
interface WaitingWork {
  /** Part of a transaction that already holds a connection. */
  isInTransaction: boolean;
  arrivedAtMs: number;
  targetAtMs: number;
  priority: number;
}

export default WaitingWork;
