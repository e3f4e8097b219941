import type Refusal from '../verdict/refusal';
import type RetryDecision from './retryDecision';
import type FailedAttempt from './failedAttempt';

const FIRST_DELAY_MS = 10;
const MAX_DELAY_MS = 400;
/** No attempt is made with less time than this left before the deadline. */
const MIN_TIME_LEFT_MS = 5;

/**
 * Failures that may not recur on another VM or member, or a moment later. Refusals for load
 * are returned to the caller: retrying them would add to the load.
 */
const TRANSIENT_CODES: ReadonlySet<Refusal['code']> = new Set([
  'noPrimary',
  'noFreshEndpoint',
  'noConnection',
  'connectionLost',
  'peerUnreachable',
  'shuttingDown',
  'outcomeUnknown',
]);

const isRetryable = ({ code }: Refusal): boolean => TRANSIENT_CODES.has(code);

/**
 * Decides whether a request is retried before its deadline: exponential backoff with full
 * jitter, except that the first retry is immediate because it goes to another VM or member.
 * Retries are safe for every verdict: a read has no effect, and a write carries its request id.
 */
const decideRetry = (failedAttempt: FailedAttempt): RetryDecision => {
  if (!isRetryable(failedAttempt.refusal)) return { kind: 'giveUp' };
  const maxDelayMs = Math.min(MAX_DELAY_MS, FIRST_DELAY_MS * 2 ** (failedAttempt.attempts - 1));
  const delayMs = failedAttempt.attempts === 1 ? 0 : failedAttempt.random * maxDelayMs;
  const isPastDeadline =
    failedAttempt.nowMs + delayMs + MIN_TIME_LEFT_MS > failedAttempt.deadlineAtMs;
  return isPastDeadline ? { kind: 'giveUp' } : { kind: 'retry', delayMs };
};

export default decideRetry;
