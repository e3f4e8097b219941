/** Resolves after a delay; a pending wait does not keep a stopped process alive. */
const sleepMs = (delayMs: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, delayMs).unref();
  });

export default sleepMs;
