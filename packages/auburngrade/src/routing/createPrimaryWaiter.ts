import { notRun, type ConfigurationState } from '@auburngrade/coordination';

/** Requests of one VM that wait for a promotion; the next one is refused. */
const MAX_WAITING = 10_000;
const RETRY_AFTER_MS = 500;

/** Holds requests back while a group has no primary, so that they need not be repeated. */
const createPrimaryWaiter = (configuration: ConfigurationState, nowMs: () => number) => {
  const waiting = new Set<{ group: string; proceed(): void }>();
  const hasPrimary = (group: string): boolean => {
    const record = configuration.get('term', group);
    return record?.state === 'active' && record.primary !== undefined;
  };

  configuration.onChange(() => {
    waiting.forEach(({ group, proceed }) => {
      if (hasPrimary(group)) proceed();
    });
  });

  const wait = (group: string, waitMs: number): Promise<void> =>
    new Promise((resolve) => {
      const waiter = {
        group,
        proceed: () => {
          waiting.delete(waiter);
          resolve();
        },
      };
      waiting.add(waiter);
      setTimeout(waiter.proceed, waitMs).unref();
    });

  return {
    /** @throws RefusalError `noPrimary` when no primary came up before the deadline. */
    wait: async (group: string, deadlineAtMs: number): Promise<void> => {
      if (hasPrimary(group)) return;
      const refusal = notRun('noPrimary', `group ${group} has no primary`, RETRY_AFTER_MS);
      if (waiting.size >= MAX_WAITING) throw refusal;
      await wait(group, deadlineAtMs - nowMs());
      if (!hasPrimary(group)) throw refusal;
    },
  };
};

export default createPrimaryWaiter;
