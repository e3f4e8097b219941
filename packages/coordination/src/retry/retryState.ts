import type Refusal from '../verdict/refusal';

/** What is known when an attempt of a request has failed. */
interface RetryState {
  refusal: Refusal;
  /** Attempts made so far, at least 1. */
  attempts: number;
  nowMs: number;
  deadlineAtMs: number;
  /** A number in [0, 1) that spreads the delays. */
  random: number;
}

export default RetryState;
