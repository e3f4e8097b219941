/**
 * Decides when a VM that follows a fallback source returns to its preferred one: once that has
 * been the preferred source for `delayMs`. Callers randomise the delay so that VMs do not all
 * switch at the same time.
 */
const createSourceFailback = (delayMs: number) => {
  let preferredSource: string | undefined;
  let preferredSinceMs = 0;

  return {
    /** Whether to switch from `current` to `best`, the preferred source; undefined if it failed. */
    isDue: (current: string, best: string | undefined, nowMs: number): boolean => {
      if (best !== preferredSource) {
        preferredSource = best;
        preferredSinceMs = nowMs;
      }
      return best !== undefined && best !== current && nowMs - preferredSinceMs >= delayMs;
    },
  };
};

export default createSourceFailback;
