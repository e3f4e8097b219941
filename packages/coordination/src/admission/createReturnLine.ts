/** Callers that were to return later have given up or come back before. */
const MAX_LINE_MS = 5_000;

/**
 * Gives each refused caller the next start that no other refused caller was given. More urgent ones,
 * with a lower priority value, go before the others.
 *
 * Load pattern: more callers refused within a second than can be served in the next one.
 */
const createReturnLine = () => {
  const dueAtMs = new Map<number, number>();

  const findDueAtMs = (priority: number): number =>
    Math.max(0, ...[...dueAtMs].filter(([other]) => other <= priority).map(([, due]) => due));

  return {
    /** Returns the time until there is room for a caller that is refused now. */
    enter: (priority: number, startIntervalMs: number, nowMs: number): number => {
      const lastDueAtMs = Math.min(
        nowMs + MAX_LINE_MS,
        Math.max(nowMs, findDueAtMs(priority)) + startIntervalMs,
      );
      dueAtMs.forEach((due, other) => {
        if (other > priority) dueAtMs.set(other, Math.max(nowMs, due) + startIntervalMs);
      });
      dueAtMs.set(priority, lastDueAtMs);
      return lastDueAtMs - nowMs;
    },
  };
};

export default createReturnLine;
