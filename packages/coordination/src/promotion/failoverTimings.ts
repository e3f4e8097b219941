/** Failover time-outs, in milliseconds. */
interface FailoverTimings {
  /** A member that has not answered for this long is considered lost. */
  suspectAfterMs: number;
  /** A primary whose log position no majority reaches for this long is considered lost. */
  stallAfterMs: number;
  /** A promotion without a result for this long is taken over by another VM. */
  takeOverAfterMs: number;
}

export default FailoverTimings;
