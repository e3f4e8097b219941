/** Resolves after a delay in milliseconds; a pending one keeps no stopped process alive. */
const sleep = (delayMs: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, Math.max(0, delayMs)).unref();
  });

export default sleep;
