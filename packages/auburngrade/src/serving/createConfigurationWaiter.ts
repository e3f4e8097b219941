import { createNotRunError, type ConfigurationState } from '@auburngrade/coordination';

const RETRY_AFTER_MS = 500;

/** Delays requests on a newly started VM until its configuration is loaded. */
const createConfigurationWaiter = (configuration: ConfigurationState, nowMs: () => number) => {
  const isLoaded = (): boolean => configuration.revision() > 0;

  const waitForChange = (waitMs: number): Promise<void> =>
    new Promise((resolve) => {
      const timer = setTimeout(resolve, Math.max(0, waitMs));
      timer.unref();
      const unsubscribe = configuration.onChange(() => {
        clearTimeout(timer);
        unsubscribe();
        resolve();
      });
    });

  return {
    isLoaded,
    /** @throws RefusalError `configurationMissing` if none is loaded by the deadline. */
    wait: async (deadlineAtMs: number): Promise<void> => {
      while (!isLoaded() && nowMs() < deadlineAtMs) await waitForChange(deadlineAtMs - nowMs());
      if (isLoaded()) return;
      throw createNotRunError(
        'configurationMissing',
        'this VM has no configuration yet',
        RETRY_AFTER_MS,
      );
    },
  };
};

export default createConfigurationWaiter;
