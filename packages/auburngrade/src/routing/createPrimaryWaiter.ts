import { createNotRunError, type ConfigurationState } from '@auburngrade/coordination';

/** Limit of requests of one VM that wait for a promotion; more are refused at once. */
const MAX_WAITING_REQUESTS = 10_000;
const RETRY_AFTER_MS = 500;

/** Delays requests while their group has no primary, so that clients need not retry them. */
const createPrimaryWaiter = (configuration: ConfigurationState, nowMs: () => number) => {
  const waiting = new Set<{ group: string; resume(): void }>();
  const hasPrimary = (group: string): boolean => {
    const record = configuration.get('term', group);
    return record?.state === 'active' && record.primary !== undefined;
  };

  configuration.onChange(() => {
    waiting.forEach(({ group, resume }) => {
      if (hasPrimary(group)) resume();
    });
  });

  const waitForPrimary = (group: string, waitMs: number): Promise<void> =>
    new Promise((resolve) => {
      const waiter = {
        group,
        resume: () => {
          waiting.delete(waiter);
          resolve();
        },
      };
      waiting.add(waiter);
      setTimeout(waiter.resume, waitMs).unref();
    });

  return {
    /** @throws RefusalError `noPrimary` when the group has no primary before the deadline. */
    wait: async (group: string, deadlineAtMs: number): Promise<void> => {
      if (hasPrimary(group)) return;
      const refusal = createNotRunError(
        'noPrimary',
        `group ${group} has no primary`,
        RETRY_AFTER_MS,
      );
      if (waiting.size >= MAX_WAITING_REQUESTS) throw refusal;
      await waitForPrimary(group, deadlineAtMs - nowMs());
      if (!hasPrimary(group)) throw refusal;
    },
  };
};

export default createPrimaryWaiter;
