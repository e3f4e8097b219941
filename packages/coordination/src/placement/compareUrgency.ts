import type QueuedStatement from './queuedStatement';

/** Each higher `priority` value sorts a statement as if its target were this much later. */
const PRIORITY_STEP_MS = 100;

/** Execution and reply take this long: with less time left, a statement misses its target anyway. */
const MIN_TIME_TO_COMPLETE_MS = 50;

const urgencyClassOf = (work: QueuedStatement, nowMs: number): number => {
  if (work.isInTransaction) return 0;
  return work.targetAtMs - MIN_TIME_TO_COMPLETE_MS > nowMs ? 1 : 2;
};

/**
 * Comparator for queued statements: first statements of open transactions, which hold a connection,
 * then those that can still meet their target, by target and priority, then late ones by arrival.
 *
 * Load pattern: more work than slots for seconds; statements past their target must not delay others.
 */
const compareUrgency = (a: QueuedStatement, b: QueuedStatement, nowMs: number): number => {
  const byUrgencyClass = urgencyClassOf(a, nowMs) - urgencyClassOf(b, nowMs);
  if (byUrgencyClass !== 0) return byUrgencyClass;
  if (urgencyClassOf(a, nowMs) !== 1) return a.arrivedAtMs - b.arrivedAtMs;
  return (
    a.targetAtMs + a.priority * PRIORITY_STEP_MS - (b.targetAtMs + b.priority * PRIORITY_STEP_MS)
  );
};

export default compareUrgency;
