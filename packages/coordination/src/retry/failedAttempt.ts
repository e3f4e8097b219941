import type Refusal from '../verdict/refusal';

/** Input of `decideRetry`: the failed attempt of a request. */
interface FailedAttempt {
  refusal: Refusal;
  /** Attempts made so far, at least 1. */
  attempts: number;
  nowMs: number;
  /** Deadline of the request, on the same clock as `nowMs`. */
  deadlineAtMs: number;
  /** Random number in [0, 1); the jitter of the delay. */
  random: number;
}

export default FailedAttempt;
