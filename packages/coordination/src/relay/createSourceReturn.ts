/**
 * Decides when a VM that follows a further source goes back to the one that it prefers: once
 * it has preferred that one for `delayMs`. Differing delays keep VMs from moving at once.
 */
const createSourceReturn = (delayMs: number) => {
  let preferred: string | undefined;
  let sinceMs = 0;

  return {
    /** Whether to leave `current`; `best` is the preferred source, undefined if it has failed. */
    isDue: (current: string, best: string | undefined, nowMs: number): boolean => {
      if (best !== preferred) {
        preferred = best;
        sinceMs = nowMs;
      }
      return best !== undefined && best !== current && nowMs - sinceMs >= delayMs;
    },
  };
};

export default createSourceReturn;
