/** Weight of the newest sample in the average lateness of timers. */
const SAMPLE_WEIGHT = 0.15;
/** An average lateness above this delays each statement by as much on each of its ways. */
const STRAINED_ABOVE_MS = 20;
/** Below this the VM has processor time to spare. */
const EASED_BELOW_MS = 6;
/** How long it must have time to spare until it counts as eased. */
const EASED_FOR_MS = 3_000;

/**
 * Tells from the lateness of a timer whether a VM is short of processor time. It takes some samples to
 * become strained, and seconds to become eased again.
 *
 * Load pattern: a VM that turns several times slower while it owns a group.
 */
const createStrainGauge = () => {
  let averageMs = 0;
  let isStrained = false;
  let easySinceMs: number | undefined;

  return {
    observe: (latenessMs: number, nowMs: number): boolean => {
      averageMs += (Math.max(0, latenessMs) - averageMs) * SAMPLE_WEIGHT;
      if (averageMs > STRAINED_ABOVE_MS) isStrained = true;
      easySinceMs = averageMs < EASED_BELOW_MS ? (easySinceMs ?? nowMs) : undefined;
      if (easySinceMs !== undefined && nowMs - easySinceMs >= EASED_FOR_MS) isStrained = false;
      return isStrained;
    },
    isStrained: () => isStrained,
    averageMs: () => averageMs,
  };
};

export default createStrainGauge;
