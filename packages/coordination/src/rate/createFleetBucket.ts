import type RateLimit from './rateLimit';

const MS_PER_S = 1_000;

/**
 * A token bucket that every spending VM keeps for the whole limit: a VM takes for what it admits,
 * and charges what the others report. It begins empty, since it cannot know what was spent before.
 * What others admit between two reports may drive it below zero, and is paid back by waiting.
 *
 * Load pattern: one client account far above its rate on several VMs at once.
 */
const createFleetBucket = (initialLimit: RateLimit, createdAtMs: number) => {
  let limit = initialLimit;
  let share = 1;
  let tokens = 0;
  let filledAtMs = createdAtMs;

  const refill = (nowMs: number): void => {
    const elapsedMs = Math.max(0, nowMs - filledAtMs);
    filledAtMs = Math.max(filledAtMs, nowMs);
    const filled = tokens + (elapsedMs * limit.ratePerS * share) / MS_PER_S;
    tokens = Math.min(Math.max(1, limit.burst * share), filled);
  };

  return {
    setLimit: (next: RateLimit, nowMs: number): void => {
      refill(nowMs);
      limit = next;
      tokens = Math.min(tokens, limit.burst);
    },
    /** The part of the limit that this VM may spend while others cannot report, from 0 to 1. */
    setShare: (next: number, nowMs: number): void => {
      refill(nowMs);
      share = next;
    },
    take: (nowMs: number): boolean => {
      refill(nowMs);
      if (tokens < 1) return false;
      tokens -= 1;
      return true;
    },
    charge: (admitted: number, nowMs: number): void => {
      refill(nowMs);
      const floor = -(limit.burst + limit.ratePerS);
      tokens = Math.min(Math.max(1, limit.burst), Math.max(floor, tokens - admitted));
    },
    /** Time until a token is here. */
    dueInMs: (nowMs: number): number => {
      refill(nowMs);
      if (tokens >= 1) return 0;
      const ratePerMs = (limit.ratePerS * share) / MS_PER_S;
      return ratePerMs > 0 ? Math.ceil((1 - tokens) / ratePerMs) : Number.POSITIVE_INFINITY;
    },
  };
};

export default createFleetBucket;
