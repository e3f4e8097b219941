/** First delay before another attempt at the same endpoint: about the duration of one statement. */
const FIRST_DELAY_MS = 15;

interface FailedAttempts {
  count: number;
  lastAtMs: number;
}

/**
 * Paces the attempts of one statement at endpoints where it did not run. The delay doubles with each
 * failed attempt at the same endpoint; other endpoints may be tried at once.
 *
 * Load pattern: an endpoint that refuses statements for up to seconds, as it does while it restarts or
 * is overloaded. Without a delay, all attempts of a statement would be over within 100 ms.
 */
const createAttemptPace = (maxDelayMs: number) => {
  const failures = new Map<string, FailedAttempts>();

  const delayMsAfter = (count: number): number =>
    Math.min(maxDelayMs, FIRST_DELAY_MS * 2 ** (count - 1));

  return {
    /** Notes that the statement did not run at an endpoint; returns the delay of the next attempt there. */
    noteNotRun: (endpointId: string, nowMs: number): number => {
      const count = (failures.get(endpointId)?.count ?? 0) + 1;
      failures.set(endpointId, { count, lastAtMs: nowMs });
      return delayMsAfter(count);
    },
    /** Time of the next attempt at an endpoint; failures before `availableSinceMs` do not delay it. */
    pausedUntilMs: (endpointId: string, availableSinceMs: number): number => {
      const failed = failures.get(endpointId);
      if (!failed || failed.lastAtMs < availableSinceMs) return 0;
      return failed.lastAtMs + delayMsAfter(failed.count);
    },
  };
};

export default createAttemptPace;
