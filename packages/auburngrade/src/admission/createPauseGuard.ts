const TICK_MS = 200;
/** A gap between ticks that counts as a pause of the process. */
const PAUSE_MS = 2_000;
/** Messages that arrived during a pause are read within this time after it. */
const CATCH_UP_MS = 5_000;

/**
 * Tells whether confirmations can be trusted as recent: after a pause of the
 * process, messages from before it are still waiting to be read.
 */
const createPauseGuard = (nowMs: () => number) => {
  let tickedAtMs = nowMs();
  let trustedAtMs = Number.NEGATIVE_INFINITY;

  const check = (): void => {
    const now = nowMs();
    if (now - tickedAtMs > PAUSE_MS) trustedAtMs = now + CATCH_UP_MS;
    tickedAtMs = now;
  };

  const timer = setInterval(check, TICK_MS);
  timer.unref();

  return {
    isSteady: (): boolean => {
      check();
      return nowMs() >= trustedAtMs;
    },
    stop: (): void => clearInterval(timer),
  };
};

export default createPauseGuard;
