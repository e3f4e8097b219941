const CHECK_INTERVAL_MS = 50;

/**
 * Tells since when a signal whose handler runs now may have been pending. A process that was suspended, or whose event
 * loop was busy, handles a signal late, and the system does not say when the signal was sent.
 */
const createSignalClock = (nowMs: () => number) => {
  let handledUntilMs = nowMs();
  let earliestArrivalMs = handledUntilMs;
  const timer = setInterval(() => {
    const checkedAtMs = nowMs();
    // The event loop has looked for signals once since, when the immediate runs.
    setImmediate(() => {
      // One check behind, as the thread that takes a signal may be slower than the event loop.
      earliestArrivalMs = handledUntilMs;
      handledUntilMs = checkedAtMs;
    });
  }, CHECK_INTERVAL_MS);
  timer.unref();

  return {
    /** No signal sent before this time is still to be handled; at most two checks back in a healthy process. */
    earliestArrivalMs: (): number => earliestArrivalMs,
    close: (): void => clearInterval(timer),
  };
};

export default createSignalClock;
