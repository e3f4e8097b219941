import type { StatementRequest } from '@auburngrade/coordination';
import type GroupHolder from '../groups/groupHolder';
import sleep from '../time/sleep';
import type ReadAttempt from './readAttempt';

type HedgeHolder = Pick<GroupHolder, 'isServingSince' | 'pollMember'>;

/** A read that takes longer makes this VM ask whether the member is still there. */
const SLOW_READ_MS = 100;
/** A read of a member that answers polls is sent a second time when it is not answered by then. */
const HEDGE_AFTER_MS = 1_000;
/** With less time left a second read would not end in time either. */
const MIN_HEDGE_AFTER_MS = 5;

/** Decides when a read that has no answer is sent a second time, over another connection. */
const createReadHedge = (nowMs: () => number) => {
  /** Whether a read only waits for its turn: a second one would lengthen the queues. */
  const isQueued = (
    holder: HedgeHolder,
    { member, isSent }: ReadAttempt,
    sinceMs: number,
  ): boolean => member !== undefined && !isSent && holder.isServingSince(member, sinceMs);

  /** Resolves with false once a slow read's member does not answer a poll either. */
  const watchMember = (
    holder: HedgeHolder,
    progress: ReadAttempt,
    ended: Promise<boolean>,
  ): Promise<boolean> =>
    new Promise((resolve) => {
      const check = async (): Promise<void> => {
        if (await Promise.race([ended, sleep(SLOW_READ_MS)])) return;
        const { member } = progress;
        if (member !== undefined && !(await holder.pollMember(member))) resolve(false);
      };
      // A member that can't be asked decides nothing.
      check().catch(() => {});
    });

  return {
    /** Resolves with true when the read should be sent a second time, with false once it has ended. */
    isStuck: async (
      holder: HedgeHolder,
      { deadlineAtMs }: Pick<StatementRequest, 'deadlineAtMs'>,
      progress: ReadAttempt,
      answer: Promise<unknown>,
    ): Promise<boolean> => {
      const ended = answer.then(
        () => true,
        () => true,
      );
      const silence = watchMember(holder, progress, ended);
      for (;;) {
        const sinceMs = nowMs();
        const hedgeAfterMs = Math.min(HEDGE_AFTER_MS, (deadlineAtMs - sinceMs) / 2);
        if (hedgeAfterMs < MIN_HEDGE_AFTER_MS) return false;
        if (await Promise.race([ended, silence, sleep(hedgeAfterMs)])) return false;
        if (!isQueued(holder, progress, sinceMs)) return true;
      }
    },
  };
};

export default createReadHedge;
