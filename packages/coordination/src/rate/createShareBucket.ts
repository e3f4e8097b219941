import type RateLimit from './rateLimit';
import WHOLE_UNITS from './wholeUnits';

const MS_PER_S = 1_000;
/** A token that misses this much by rounding counts as whole; the rest is owed. */
const ROUNDING_TOKENS = 1e-6;

/**
 * A token bucket that has a share, in units, of a limit's rate and burst. Tokens
 * never exceed the share's part of the burst, so the buckets of all shares
 * together never hold more than the whole burst.
 */
const createShareBucket = (initialLimit: RateLimit, createdAtMs: number) => {
  let limit = initialLimit;
  let units = 0;
  let tokens = 0;
  let filledAtMs = createdAtMs;

  const capacity = (): number => (limit.burst * units) / WHOLE_UNITS;
  const ratePerMs = (): number => (limit.ratePerS * units) / WHOLE_UNITS / MS_PER_S;

  const refill = (nowMs: number): void => {
    const elapsedMs = Math.max(0, nowMs - filledAtMs);
    filledAtMs = Math.max(filledAtMs, nowMs);
    tokens = Math.min(capacity(), tokens + elapsedMs * ratePerMs());
  };

  return {
    units: () => units,
    /** The least units whose part of the burst holds a whole token. */
    unitsForOneToken: (): number => Math.ceil(WHOLE_UNITS / limit.burst),
    capacity,
    tokens: (nowMs: number): number => {
      refill(nowMs);
      return tokens;
    },
    setLimit: (next: RateLimit, nowMs: number): void => {
      refill(nowMs);
      limit = next;
      tokens = Math.min(capacity(), tokens);
    },
    add: (addedUnits: number, addedTokens: number, nowMs: number): void => {
      refill(nowMs);
      units += addedUnits;
      tokens = Math.min(capacity(), tokens + addedTokens);
    },
    /** Removes units; returns the tokens that go with them. */
    remove: (removedUnits: number, nowMs: number): number => {
      refill(nowMs);
      const removed = Math.min(units, removedUnits);
      const removedTokens = units === 0 ? 0 : (tokens * removed) / units;
      units -= removed;
      tokens = Math.min(capacity(), tokens - removedTokens);
      return removedTokens;
    },
    take: (nowMs: number): boolean => {
      refill(nowMs);
      if (tokens < 1 - ROUNDING_TOKENS) return false;
      tokens -= 1;
      return true;
    },
    /** Returns a token of a request that was not admitted in the end. */
    putBack: (nowMs: number): void => {
      refill(nowMs);
      tokens = Math.min(capacity(), tokens + 1);
    },
    /** Time until one token is here; undefined when this share can never hold one. */
    tokenDueInMs: (nowMs: number): number | undefined => {
      refill(nowMs);
      if (tokens >= 1 - ROUNDING_TOKENS) return 0;
      return capacity() < 1 - ROUNDING_TOKENS ? undefined : Math.ceil((1 - tokens) / ratePerMs());
    },
  };
};

export default createShareBucket;
