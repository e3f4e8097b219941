import type FailoverPart from './failoverPart';

/** Measures the consecutive parts of one change of primary, in milliseconds. */
const createTimeline = (startedAtMs: number) => {
  const partsMs: Partial<Record<FailoverPart, number>> = {};
  let markedAtMs = startedAtMs;

  return {
    /** Ends a part; the next one starts now. A part that was ended before stays as it is. */
    end: (part: FailoverPart, nowMs: number): void => {
      if (partsMs[part] !== undefined) return;
      partsMs[part] = Math.round(nowMs - markedAtMs);
      markedAtMs = nowMs;
    },
    partsMs: (): Record<string, number> => ({
      ...partsMs,
      total: Math.round(markedAtMs - startedAtMs),
    }),
  };
};

export default createTimeline;
