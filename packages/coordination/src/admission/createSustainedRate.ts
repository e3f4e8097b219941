const WINDOW_MS = 250;
/** Arrivals that go on for as many windows are expected to go on; a short burst is not. */
const WINDOWS = 4;

/** Measures the rate that arrivals have had at least in each of the last windows, which cover one second. */
const createSustainedRate = () => {
  let counts = Array.from({ length: WINDOWS + 1 }, () => 0);
  let currentWindow = 0;

  const moveTo = (nowMs: number): void => {
    const window = Math.floor(nowMs / WINDOW_MS);
    const steps = Math.min(WINDOWS + 1, window - currentWindow);
    if (steps <= 0) return;
    counts = [...counts.slice(steps), ...Array.from({ length: steps }, () => 0)];
    currentWindow = window;
  };

  return {
    note: (nowMs: number): void => {
      moveTo(nowMs);
      counts[WINDOWS] = (counts[WINDOWS] ?? 0) + 1;
    },
    /** Arrivals per ms; the current window is not complete and does not count. */
    findPerMs: (nowMs: number): number => {
      moveTo(nowMs);
      return Math.min(...counts.slice(0, WINDOWS)) / WINDOW_MS;
    },
  };
};

export default createSustainedRate;
