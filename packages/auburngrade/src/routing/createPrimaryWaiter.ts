import { createNotRunError, type ConfigurationState } from '@auburngrade/coordination';
import type DataCentres from '../evacuation/dataCentres';
import findPrimaryAccess from '../evacuation/findPrimaryAccess';
import type GroupClient from '../groups/groupClient';

interface PrimaryWaiterOptions {
  configuration: ConfigurationState;
  dataCentres: Pick<DataCentres, 'phaseOf' | 'onChange'>;
  nowMs(): number;
}

type WaitedGroup = Pick<GroupClient, 'name' | 'group' | 'record' | 'views'>;

/** Limit of requests of one VM that wait for a promotion; more are refused at once. */
const MAX_WAITING_REQUESTS = 10_000;
/** A candidate may stop answering without a change of the configuration. */
const CHECK_INTERVAL_MS = 250;
const RETRY_AFTER_MS = 500;
/** Longer, since only a change by operators or an endpoint that comes up ends the refusals. */
const EVACUATED_RETRY_AFTER_MS = 1_000;

/** Delays requests while their group has no primary to use, so that clients need not retry them. */
const createPrimaryWaiter = ({ configuration, dataCentres, nowMs }: PrimaryWaiterOptions) => {
  const waiting = new Set<{ groupClient: WaitedGroup; resume(): void }>();
  let checkTimer: NodeJS.Timeout | undefined;

  const accessOf = (groupClient: WaitedGroup) =>
    findPrimaryAccess(groupClient, configuration, dataCentres, nowMs());

  /** Decides once for each group: thousands of requests may wait for the same one. */
  const resumeDecided = (): void => {
    const isDecided = new Map<string, boolean>();
    waiting.forEach(({ groupClient, resume }) => {
      const { name } = groupClient;
      if (!isDecided.has(name)) isDecided.set(name, accessOf(groupClient) !== 'wait');
      if (isDecided.get(name)) resume();
    });
  };
  configuration.onChange(resumeDecided);
  dataCentres.onChange(resumeDecided);

  const waitForPrimary = (groupClient: WaitedGroup, waitMs: number): Promise<void> =>
    new Promise((resolve) => {
      const waiter = {
        groupClient,
        resume: () => {
          waiting.delete(waiter);
          if (waiting.size === 0) clearInterval(checkTimer);
          resolve();
        },
      };
      if (waiting.size === 0) checkTimer = setInterval(resumeDecided, CHECK_INTERVAL_MS).unref();
      waiting.add(waiter);
      setTimeout(waiter.resume, waitMs).unref();
    });

  /** Whether statements may go to the primary. @throws RefusalError `dataCentreEvacuated` */
  const isUsable = (groupClient: WaitedGroup): boolean => {
    const access = accessOf(groupClient);
    if (access !== 'refused') return access === 'allowed';
    throw createNotRunError(
      'dataCentreEvacuated',
      `group ${groupClient.name} has no primary outside evacuated data centres, and no member that could become it`,
      EVACUATED_RETRY_AFTER_MS,
    );
  };

  return {
    isUsable,
    /** @throws RefusalError `noPrimary` when the group has no primary to use before the deadline, or `dataCentreEvacuated`. */
    wait: async (groupClient: WaitedGroup, deadlineAtMs: number): Promise<void> => {
      if (isUsable(groupClient)) return;
      const refusal = createNotRunError(
        'noPrimary',
        `group ${groupClient.name} has no primary`,
        RETRY_AFTER_MS,
      );
      if (waiting.size >= MAX_WAITING_REQUESTS) throw refusal;
      await waitForPrimary(groupClient, deadlineAtMs - nowMs());
      if (!isUsable(groupClient)) throw refusal;
    },
  };
};

export default createPrimaryWaiter;
