const MINUTE_MS = 60_000;
const HOUR_MS = 60 * MINUTE_MS;
const DAY_MS = 24 * HOUR_MS;

/**
 * Pairs of windows: a pair is burning when the burn over both its windows is at
 * least the threshold; the short one makes the state end soon after the fault.
 */
const burnWindows = [
  { name: 'fast', longMs: HOUR_MS, shortMs: 5 * MINUTE_MS, threshold: 14.4 },
  { name: 'medium', longMs: 6 * HOUR_MS, shortMs: 30 * MINUTE_MS, threshold: 6 },
  { name: 'slow', longMs: 3 * DAY_MS, shortMs: 6 * HOUR_MS, threshold: 1 },
] as const;

export default burnWindows;
