import type RateLimit from './rateLimit';

const MS_PER_S = 1_000;

/**
 * A replica of one account's fleet-wide token bucket. Each admitting VM has one: it takes a token
 * for each request that it admits and charges the admissions that other VMs report. The bucket
 * starts empty because earlier admissions are unknown. Late charges may make the balance negative;
 * refills repay it. Handles an account far above its rate on several VMs at once.
 */
const createReplicatedBucket = (initialLimit: RateLimit, createdAtMs: number) => {
  let limit = initialLimit;
  let limitFraction = 1;
  let tokens = 0;
  let refilledAtMs = createdAtMs;

  const refill = (nowMs: number): void => {
    const elapsedMs = Math.max(0, nowMs - refilledAtMs);
    refilledAtMs = Math.max(refilledAtMs, nowMs);
    const refilledTokens = tokens + (elapsedMs * limit.ratePerS * limitFraction) / MS_PER_S;
    tokens = Math.min(Math.max(1, limit.burst * limitFraction), refilledTokens);
  };

  return {
    setLimit: (newLimit: RateLimit, nowMs: number): void => {
      refill(nowMs);
      limit = newLimit;
      tokens = Math.min(tokens, limit.burst);
    },
    /** Sets the fraction of the limit, 0 to 1, for this VM while other VMs cannot report. */
    setLimitFraction: (newFraction: number, nowMs: number): void => {
      refill(nowMs);
      limitFraction = newFraction;
    },
    take: (nowMs: number): boolean => {
      refill(nowMs);
      if (tokens < 1) return false;
      tokens -= 1;
      return true;
    },
    /** Deducts tokens for admissions reported by other VMs; a negative count refunds tokens. */
    charge: (admitted: number, nowMs: number): void => {
      refill(nowMs);
      const minTokens = -(limit.burst + limit.ratePerS);
      tokens = Math.min(Math.max(1, limit.burst), Math.max(minTokens, tokens - admitted));
    },
    /** Milliseconds until a token is available; infinite at a rate of 0. */
    tokenDueInMs: (nowMs: number): number => {
      refill(nowMs);
      if (tokens >= 1) return 0;
      const ratePerMs = (limit.ratePerS * limitFraction) / MS_PER_S;
      return ratePerMs > 0 ? Math.ceil((1 - tokens) / ratePerMs) : Number.POSITIVE_INFINITY;
    },
  };
};

export default createReplicatedBucket;
