const TICK_MS = 200;
/** A longer gap between two checks counts as a pause of the process. */
const MIN_PAUSE_MS = 2_000;
/** Time allowed for reading the messages that arrived during a pause. */
const CATCH_UP_MS = 5_000;

/**
 * Detects pauses of the process (a suspended VM, a blocked event loop). After a pause, messages
 * from before it are still queued, so a confirmation read then may be stale.
 */
const createPauseDetector = (nowMs: () => number) => {
  let tickedAtMs = nowMs();
  let trustedAtMs = Number.NEGATIVE_INFINITY;

  const check = (): void => {
    const now = nowMs();
    if (now - tickedAtMs > MIN_PAUSE_MS) trustedAtMs = now + CATCH_UP_MS;
    tickedAtMs = now;
  };

  const timer = setInterval(check, TICK_MS);
  timer.unref();

  return {
    /** False until CATCH_UP_MS after a pause: confirmations read then may be stale. */
    isCaughtUp: (): boolean => {
      check();
      return nowMs() >= trustedAtMs;
    },
    stop: (): void => clearInterval(timer),
  };
};

export default createPauseDetector;
