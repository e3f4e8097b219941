import type FailoverPart from './failoverPart';

/** Measures the consecutive parts of one change of primary, in milliseconds. */
const createFailoverTimer = (startedAtMs: number) => {
  const partsMs: Partial<Record<FailoverPart, number>> = {};
  let lastPartEndedAtMs = startedAtMs;

  return {
    /** Ends a part and starts the next; a part that ended before keeps its duration. */
    end: (part: FailoverPart, nowMs: number): void => {
      if (partsMs[part] !== undefined) return;
      partsMs[part] = Math.round(nowMs - lastPartEndedAtMs);
      lastPartEndedAtMs = nowMs;
    },
    partsMs: (): Record<string, number> => ({
      ...partsMs,
      total: Math.round(lastPartEndedAtMs - startedAtMs),
    }),
  };
};

export default createFailoverTimer;
