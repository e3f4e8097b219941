/** Lines written per event and window; further lines are only counted. */
const MAX_LINES_PER_EVENT_PER_S = 20;
const WINDOW_MS = 1_000;

/**
 * Rate-limits log lines per event. `admit` returns whether a line may be written and, at the start
 * of a window, how many lines the previous window left out.
 */
const createEventBudget = () => {
  const windows = new Map<string, { startedAtMs: number; written: number; leftOut: number }>();

  return {
    admit: (event: string, nowMs: number): { isAdmitted: boolean; leftOutBefore: number } => {
      const currentWindow = windows.get(event);
      if (!currentWindow || nowMs - currentWindow.startedAtMs >= WINDOW_MS) {
        windows.set(event, { startedAtMs: nowMs, written: 1, leftOut: 0 });
        return { isAdmitted: true, leftOutBefore: currentWindow?.leftOut ?? 0 };
      }
      if (currentWindow.written >= MAX_LINES_PER_EVENT_PER_S) {
        currentWindow.leftOut += 1;
        return { isAdmitted: false, leftOutBefore: 0 };
      }
      currentWindow.written += 1;
      return { isAdmitted: true, leftOutBefore: 0 };
    },
    /** Removes and returns the counts of lines left out in windows that have ended. */
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
