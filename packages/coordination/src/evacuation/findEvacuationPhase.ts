import type EvacuationPhase from './evacuationPhase';

/**
 * Longest time from the acknowledgement of an evacuation until a VM learns of it: a watch of 1,500 ms that missed the
 * change, 200 ms in which changes are gathered, two heartbeats of 250 ms, and 400 ms until a VM that lacks a document
 * is sent it.
 */
const MAX_PROPAGATION_MS = 2_600;
/** Time for what was sent before to arrive. */
const IN_FLIGHT_MS = 400;

interface EvacuationTimes {
  /** When this VM learned of the evacuation; undefined if it knows of none. */
  sinceMs: number | undefined;
  nowMs: number;
  /** Time from the acknowledgement until nothing may reach the data centre's endpoints. */
  boundMs: number;
}

/** How long a VM that has just learned of an evacuation may still send to the data centre's endpoints. */
const computeEvacuatingMs = (boundMs: number): number =>
  Math.max(0, boundMs - MAX_PROPAGATION_MS - IN_FLIGHT_MS);

/** Finds how far the evacuation of a data centre is. All times are in ms on one monotonic clock. */
const findEvacuationPhase = ({ sinceMs, nowMs, boundMs }: EvacuationTimes): EvacuationPhase => {
  if (sinceMs === undefined) return 'inService';
  return nowMs - sinceMs < computeEvacuatingMs(boundMs) ? 'evacuating' : 'evacuated';
};

export default Object.assign(findEvacuationPhase, { evacuatingMs: computeEvacuatingMs });
