const POLL_DELAY_MS = 20;

/** Polls until the check gives a value other than undefined or false. Rejects after `timeoutMs`. */
const waitFor = async <Value>(
  description: string,
  check: () => Promise<Value | undefined | false> | Value | undefined | false,
  timeoutMs = 10_000,
): Promise<Value> => {
  const deadlineAtMs = performance.now() + timeoutMs;
  let lastError: unknown;
  while (performance.now() < deadlineAtMs) {
    try {
      const value = await check();
      if (value !== undefined && value !== false) return value;
    } catch (error) {
      lastError = error;
    }
    await new Promise((resolve) => {
      setTimeout(resolve, POLL_DELAY_MS);
    });
  }
  throw new Error(`timed out: ${description}${lastError ? `: ${String(lastError)}` : ''}`);
};

export default waitFor;
