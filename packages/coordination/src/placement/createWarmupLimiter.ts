/** Fraction of a second whose statements may be sent at once. */
const BURST_S = 0.1;
/** Rounding of the token count must not delay a statement. */
const EPSILON = 1e-6;

/**
 * Limits the statements that a cold endpoint is sent: a token bucket that starts empty and holds a tenth of a second's
 * worth, at least 1. So two owners in a row, of which the second knows nothing of the first, send at most 1.1 times
 * the rate and 2 statements in any second.
 *
 * Load pattern: all statements return at once to an endpoint that has just started.
 */
const createWarmupLimiter = (ratePerS: number, startMs: number) => {
  const capacity = Math.max(1, ratePerS * BURST_S);
  let tokens = 0;
  let updatedAtMs = startMs;

  const refill = (nowMs: number): void => {
    tokens = Math.min(capacity, tokens + (Math.max(0, nowMs - updatedAtMs) * ratePerS) / 1_000);
    updatedAtMs = Math.max(updatedAtMs, nowMs);
  };
  const canSend = (nowMs: number): boolean => {
    refill(nowMs);
    return tokens >= 1 - EPSILON;
  };

  return {
    canSend,
    /** Call with each statement, also with one that could not be held back: later ones wait for longer. */
    noteSent: (nowMs: number): void => {
      refill(nowMs);
      tokens -= 1;
    },
    /** When the next statement may be sent. */
    nextSendAtMs: (nowMs: number): number =>
      canSend(nowMs) ? nowMs : nowMs + ((1 - tokens) * 1_000) / ratePerS,
  };
};

export default createWarmupLimiter;
