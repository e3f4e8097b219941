import { notRun, type ConfigurationState } from '@auburngrade/coordination';

const RETRY_AFTER_MS = 500;

/** Holds requests to a VM that has just started back until it has its configuration. */
const createConfigurationWaiter = (configuration: ConfigurationState, nowMs: () => number) => {
  const isLoaded = (): boolean => configuration.revision() > 0;

  const waitForChange = (waitMs: number): Promise<void> =>
    new Promise((resolve) => {
      const timer = setTimeout(resolve, Math.max(0, waitMs));
      timer.unref();
      const stop = configuration.onChange(() => {
        clearTimeout(timer);
        stop();
        resolve();
      });
    });

  return {
    isLoaded,
    /** @throws RefusalError `configurationMissing` when none came before the deadline. */
    wait: async (deadlineAtMs: number): Promise<void> => {
      while (!isLoaded() && nowMs() < deadlineAtMs) await waitForChange(deadlineAtMs - nowMs());
      if (isLoaded()) return;
      throw notRun('configurationMissing', 'this VM has no configuration yet', RETRY_AFTER_MS);
    },
  };
};

export default createConfigurationWaiter;
