/** Resolves after a delay in milliseconds; a pending timer does not keep the process alive. */
const sleep = (delayMs: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, Math.max(0, delayMs)).unref();
  });

export default sleep;
