import type ArrivalCounts from './arrivalCounts';
import ARRIVAL_STEP_MS from './arrivalStepMs';

interface Backlog {
  /** The arrivals of this step are the last that count as ahead. */
  untilStep: number;
  /** The starts are counted from here on; what leaves before has not started. */
  fromMs: number;
  /** How many of the last arrivals are not counted. */
  skippedCount: number;
  /** Time for which a statement stays in the backlog when it does not start. */
  limitMs: number;
  startIntervalMs: number;
}

/**
 * Earliest time at which all that arrived before has started or left, from a given time on: the arrivals start in order, one
 * each interval, and each that has not started by its limit leaves.
 */
const findBacklogEndMs = (
  flows: readonly ArrivalCounts[],
  { untilStep, fromMs, skippedCount, limitMs, startIntervalMs }: Backlog,
): number => {
  const firstStep = Math.floor((fromMs - limitMs) / ARRIVAL_STEP_MS);
  const counts: number[] = [];
  let remaining = -skippedCount;
  for (let step = firstStep; step <= untilStep; step += 1) {
    const count = flows.reduce((sum, flow) => sum + flow.countIn(step), 0);
    counts.push(count);
    remaining += count;
  }
  let endMs = fromMs;
  for (let index = 0; index < counts.length && remaining > 0; index += 1) {
    const leaveAtMs = (firstStep + index + 1) * ARRIVAL_STEP_MS + limitMs;
    const count = Math.min(remaining, counts[index] ?? 0);
    if (endMs < leaveAtMs) endMs = Math.min(leaveAtMs, endMs + count * startIntervalMs);
    remaining -= count;
  }
  return endMs;
};

export default findBacklogEndMs;
