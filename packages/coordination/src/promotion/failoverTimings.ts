/** Durations that decide when a primary is replaced, in milliseconds. */
interface FailoverTimings {
  /** A member without an answer for this long counts as gone. */
  suspectAfterMs: number;
  /** A primary whose position no majority confirms for this long counts as gone. */
  stallAfterMs: number;
  /** A promotion without a result for this long is taken over. */
  takeOverAfterMs: number;
}

export default FailoverTimings;
