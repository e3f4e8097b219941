import type WaitingWork from './waitingWork';

/** A step of priority counts like this much time less until the target. */
const PRIORITY_STEP_MS = 100;

/** Time that a statement and its way back take: with less left it is late whatever is done. */
const RUN_TIME_MS = 50;

const rankOf = (work: WaitingWork, nowMs: number): number => {
  if (work.isInTransaction) return 0;
  return work.targetAtMs - RUN_TIME_MS > nowMs ? 1 : 2;
};

/**
 * Orders waiting statements: transactions that hold a connection, then work that can still be in
 * time, by its target, then late work by its arrival.
 *
 * Load pattern: more work than slots for seconds; work whose time has passed must not delay the rest.
 */
const compareUrgency = (a: WaitingWork, b: WaitingWork, nowMs: number): number => {
  const byRank = rankOf(a, nowMs) - rankOf(b, nowMs);
  if (byRank !== 0) return byRank;
  if (rankOf(a, nowMs) !== 1) return a.arrivedAtMs - b.arrivedAtMs;
  return (
    a.targetAtMs + a.priority * PRIORITY_STEP_MS - (b.targetAtMs + b.priority * PRIORITY_STEP_MS)
  );
};

export default compareUrgency;
