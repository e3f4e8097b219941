/** Lines of one event in a second, before further ones are only counted. */
const LINES_PER_EVENT_AND_SECOND = 20;
const WINDOW_MS = 1_000;

/**
 * Bounds the lines of each event. Returns whether a line may be written, and from time to time how
 * many of an event were left out since the last summary.
 */
const createEventBudget = () => {
  const windows = new Map<string, { startedAtMs: number; written: number; leftOut: number }>();

  return {
    admit: (event: string, nowMs: number): { isAdmitted: boolean; leftOutBefore: number } => {
      const known = windows.get(event);
      if (!known || nowMs - known.startedAtMs >= WINDOW_MS) {
        windows.set(event, { startedAtMs: nowMs, written: 1, leftOut: 0 });
        return { isAdmitted: true, leftOutBefore: known?.leftOut ?? 0 };
      }
      if (known.written >= LINES_PER_EVENT_AND_SECOND) {
        known.leftOut += 1;
        return { isAdmitted: false, leftOutBefore: 0 };
      }
      known.written += 1;
      return { isAdmitted: true, leftOutBefore: 0 };
    },
    /** Events with lines left out in windows that have passed; they are not told again. */
    drain: (nowMs: number): { event: string; leftOut: number }[] =>
      [...windows].flatMap(([event, window]) => {
        if (window.leftOut === 0 || nowMs - window.startedAtMs < WINDOW_MS) return [];
        const { leftOut } = window;
        windows.delete(event);
        return [{ event, leftOut }];
      }),
  };
};

export default createEventBudget;
