/** Weight of the newest sample in the average event-loop lag. */
const SAMPLE_WEIGHT = 0.15;
/** A higher average lag delays each statement by as much in each direction. */
const STRAINED_LAG_MS = 20;
/** Below this average lag the VM has spare CPU time. */
const RECOVERED_LAG_MS = 6;
/** How long the average lag must stay low until the VM counts as recovered. */
const RECOVERY_HOLD_MS = 3_000;

/**
 * Detects from event-loop lag whether a VM is strained, that is short of CPU time. Becoming
 * strained takes several samples and recovering takes seconds. Handles a VM that becomes several
 * times slower while it owns a group.
 */
const createStrainDetector = () => {
  let averageLagMs = 0;
  let isStrained = false;
  let lowLagSinceMs: number | undefined;

  return {
    observe: (lagMs: number, nowMs: number): boolean => {
      averageLagMs += (Math.max(0, lagMs) - averageLagMs) * SAMPLE_WEIGHT;
      if (averageLagMs > STRAINED_LAG_MS) isStrained = true;
      lowLagSinceMs = averageLagMs < RECOVERED_LAG_MS ? (lowLagSinceMs ?? nowMs) : undefined;
      if (lowLagSinceMs !== undefined && nowMs - lowLagSinceMs >= RECOVERY_HOLD_MS)
        isStrained = false;
      return isStrained;
    },
    isStrained: () => isStrained,
    averageLagMs: () => averageLagMs,
  };
};

export default createStrainDetector;
