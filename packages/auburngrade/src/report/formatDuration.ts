const MINUTE_MS = 60_000;
const HOUR_MS = 60 * MINUTE_MS;
const DAY_MS = 24 * HOUR_MS;
const MS_PER_S = 1_000;

/** Formats a length of time with the largest unit that fits. */
const formatDuration = (lengthMs: number): string => {
  if (lengthMs >= DAY_MS) return `${Math.round(lengthMs / DAY_MS)} d`;
  if (lengthMs >= HOUR_MS) return `${Math.round(lengthMs / HOUR_MS)} h`;
  if (lengthMs >= MINUTE_MS) return `${Math.round(lengthMs / MINUTE_MS)} min`;
  return `${Math.round(lengthMs / MS_PER_S)} s`;
};

export default formatDuration;
