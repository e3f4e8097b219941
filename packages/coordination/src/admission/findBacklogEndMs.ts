import type ArrivalCounts from './arrivalCounts';
import ARRIVAL_STEP_MS from './arrivalStepMs';

interface Backlog {
  /** The arrivals of this step are the last that count as ahead. */
  untilStep: number;
  nowMs: number;
  /** Time for which a statement stays in the backlog when it does not start. */
  limitMs: number;
  startIntervalMs: number;
}

/**
 * Earliest time at which all that arrived before has started or left: the arrivals start in order, one
 * each interval, and each that has not started by its limit leaves.
 */
const findBacklogEndMs = (
  flows: readonly ArrivalCounts[],
  { untilStep, nowMs, limitMs, startIntervalMs }: Backlog,
): number => {
  let endMs = nowMs;
  for (let step = Math.floor((nowMs - limitMs) / ARRIVAL_STEP_MS); step <= untilStep; step += 1) {
    const leaveAtMs = (step + 1) * ARRIVAL_STEP_MS + limitMs;
    if (endMs < leaveAtMs) {
      const count = flows.reduce((sum, flow) => sum + flow.countIn(step), 0);
      endMs = Math.min(leaveAtMs, endMs + count * startIntervalMs);
    }
  }
  return endMs;
};

export default findBacklogEndMs;
