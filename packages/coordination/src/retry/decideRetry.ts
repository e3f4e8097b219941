import type Refusal from '../verdict/refusal';
import type RetryDecision from './retryDecision';
import type RetryState from './retryState';

const FIRST_DELAY_MS = 10;
const MAX_DELAY_MS = 400;
/** An attempt that has less time than this left is not worth making. */
const MIN_ATTEMPT_MS = 5;

/**
 * Failures that pass when the request goes to another VM or member, or a moment later.
 * Refusals for load are left to the caller: repeating them would add to the load.
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

const isRepeatable = ({ code }: Refusal): boolean => TRANSIENT_CODES.has(code);

/**
 * Decides whether a request is attempted again: exponential delay with full jitter, within
 * the deadline. The first retry goes out at once, since it goes elsewhere. A repeat is harmless
 * whatever its verdict: a read has no effect, and a write carries its request id.
 */
const decideRetry = (state: RetryState): RetryDecision => {
  if (!isRepeatable(state.refusal)) return { kind: 'giveUp' };
  const ceilingMs = Math.min(MAX_DELAY_MS, FIRST_DELAY_MS * 2 ** (state.attempts - 1));
  const delayMs = state.attempts === 1 ? 0 : state.random * ceilingMs;
  const isLate = state.nowMs + delayMs + MIN_ATTEMPT_MS > state.deadlineAtMs;
  return isLate ? { kind: 'giveUp' } : { kind: 'retry', delayMs };
};

export default decideRetry;
