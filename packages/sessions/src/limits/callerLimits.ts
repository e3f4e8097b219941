/** Bounds on what callers may make a VM hold. */
interface CallerLimits {
  /** Memory for callers' input, statements and answers, and for calls of other VMs. */
  memoryBytes: number;
  maxConnections: number;
  /** From the connection until the session's first message is complete. */
  startupTimeoutMs: number;
  /** Between two pieces of one message. */
  messageGapMs: number;
  /** Until an answer that was sent has been read. */
  answerReadTimeoutMs: number;
}

export default CallerLimits;
