import type RateLimit from './rateLimit';
import WHOLE_UNITS from './wholeUnits';

const MS_PER_S = 1_000;
/** A token short by this much through rounding counts as whole; the balance goes negative by it. */
const ROUNDING_TOLERANCE_TOKENS = 1e-6;

/**
 * A token bucket that gets a fraction of a limit's rate and burst, expressed in quota units.
 * Tokens never exceed that fraction of the burst, so that the buckets of all VMs together
 * never hold more than the whole burst.
 */
const createQuotaBucket = (initialLimit: RateLimit, createdAtMs: number) => {
  let limit = initialLimit;
  let units = 0;
  let tokens = 0;
  let refilledAtMs = createdAtMs;

  const capacity = (): number => (limit.burst * units) / WHOLE_UNITS;
  const ratePerMs = (): number => (limit.ratePerS * units) / WHOLE_UNITS / MS_PER_S;

  const refill = (nowMs: number): void => {
    const elapsedMs = Math.max(0, nowMs - refilledAtMs);
    refilledAtMs = Math.max(refilledAtMs, nowMs);
    tokens = Math.min(capacity(), tokens + elapsedMs * ratePerMs());
  };

  return {
    units: () => units,
    /** Smallest number of units whose fraction of the burst is a whole token. */
    minUnitsForToken: (): number => Math.ceil(WHOLE_UNITS / limit.burst),
    capacity,
    tokens: (nowMs: number): number => {
      refill(nowMs);
      return tokens;
    },
    setLimit: (newLimit: RateLimit, nowMs: number): void => {
      refill(nowMs);
      limit = newLimit;
      tokens = Math.min(capacity(), tokens);
    },
    addUnits: (addedUnits: number, addedTokens: number, nowMs: number): void => {
      refill(nowMs);
      units += addedUnits;
      tokens = Math.min(capacity(), tokens + addedTokens);
    },
    /** Removes units and returns the tokens removed with them, in proportion. */
    removeUnits: (requestedUnits: number, nowMs: number): number => {
      refill(nowMs);
      const unitsToRemove = Math.min(units, requestedUnits);
      const tokensToRemove = units === 0 ? 0 : (tokens * unitsToRemove) / units;
      units -= unitsToRemove;
      tokens = Math.min(capacity(), tokens - tokensToRemove);
      return tokensToRemove;
    },
    take: (nowMs: number): boolean => {
      refill(nowMs);
      if (tokens < 1 - ROUNDING_TOLERANCE_TOKENS) return false;
      tokens -= 1;
      return true;
    },
    /** Puts back the token of a request that was not admitted after all. */
    refundToken: (nowMs: number): void => {
      refill(nowMs);
      tokens = Math.min(capacity(), tokens + 1);
    },
    /** Milliseconds until a token is available; undefined if the units are too few to hold one. */
    tokenDueInMs: (nowMs: number): number | undefined => {
      refill(nowMs);
      if (tokens >= 1 - ROUNDING_TOLERANCE_TOKENS) return 0;
      return capacity() < 1 - ROUNDING_TOLERANCE_TOKENS
        ? undefined
        : Math.ceil((1 - tokens) / ratePerMs());
    },
  };
};

export default createQuotaBucket;
