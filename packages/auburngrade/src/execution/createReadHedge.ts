import type { StatementRequest } from '@auburngrade/coordination';
import type GroupClient from '../groups/groupClient';
import sleep from '../time/sleep';
import type ReadProgress from './readProgress';

type HedgeGroupClient = Pick<GroupClient, 'hasReleasedSince' | 'pollMember'>;

/** After this long without an answer, the member of the read is polled. */
const SLOW_READ_MS = 100;
/** After this long a read is sent a second time even if its member answers polls. */
const HEDGE_AFTER_MS = 1_000;
/** No second read is sent with less time left, as it would not finish before the deadline. */
const MIN_HEDGE_AFTER_MS = 5;

/** Decides when an unanswered read is sent a second time, over another connection. */
const createReadHedge = (nowMs: () => number) => {
  /** Whether a read only waits for a connection; a second read would lengthen the queues. */
  const isQueued = (
    groupClient: HedgeGroupClient,
    { member, isSent }: ReadProgress,
    sinceMs: number,
  ): boolean => member !== undefined && !isSent && groupClient.hasReleasedSince(member, sinceMs);

  /** Polls the member of a slow read; resolves to false once the poll goes unanswered. */
  const pollWhenSlow = (
    groupClient: HedgeGroupClient,
    progress: ReadProgress,
    settled: Promise<boolean>,
  ): Promise<boolean> =>
    new Promise((resolve) => {
      const check = async (): Promise<void> => {
        if (await Promise.race([settled, sleep(SLOW_READ_MS)])) return;
        const { member } = progress;
        if (member !== undefined && !(await groupClient.pollMember(member))) resolve(false);
      };
      // A poll that cannot be made decides nothing.
      check().catch(() => {});
    });

  return {
    /** Resolves to true when the read should be sent again, to false once it has settled. */
    isHedgeDue: async (
      groupClient: HedgeGroupClient,
      { deadlineAtMs }: Pick<StatementRequest, 'deadlineAtMs'>,
      progress: ReadProgress,
      answer: Promise<unknown>,
    ): Promise<boolean> => {
      const settled = answer.then(
        () => true,
        () => true,
      );
      const memberSilent = pollWhenSlow(groupClient, progress, settled);
      for (;;) {
        const sinceMs = nowMs();
        const hedgeAfterMs = Math.min(HEDGE_AFTER_MS, (deadlineAtMs - sinceMs) / 2);
        if (hedgeAfterMs < MIN_HEDGE_AFTER_MS) return false;
        if (await Promise.race([settled, memberSilent, sleep(hedgeAfterMs)])) return false;
        if (!isQueued(groupClient, progress, sinceMs)) return true;
      }
    },
  };
};

export default createReadHedge;
