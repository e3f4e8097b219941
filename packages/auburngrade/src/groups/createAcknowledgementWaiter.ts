import { isMajorityAcknowledged, type MemberStatus } from '@auburngrade/coordination';
import sleep from '../time/sleep';
import type StatusPoller from './statusPoller';

interface Waiter {
  term: number;
  position: number;
  committedAtMs: number;
  settle(isAcknowledged: boolean): void;
}

const MIN_POLL_DELAY_MS = 1;
/** Limit of the exponential back-off for members that do not answer or stay behind. */
const MAX_POLL_DELAY_MS = 50;

/**
 * Waits until a majority of the voters hold a log position. While any write waits, each member
 * is polled in its own loop, so an unresponsive member delays no other; one status serves
 * every waiting write.
 */
const createAcknowledgementWaiter = (
  pollers: ReadonlyMap<string, StatusPoller>,
  voters: () => readonly string[],
  nowMs: () => number,
) => {
  const waiters = new Set<Waiter>();
  const polledMembers = new Set<string>();

  const voterStatuses = (): MemberStatus[] =>
    voters().flatMap((name) => pollers.get(name)?.latest() ?? []);

  const isAcknowledged = ({ term, position, committedAtMs }: Waiter): boolean => {
    const statusesSinceCommit = voterStatuses().filter(
      ({ askedAtMs }) => askedAtMs >= committedAtMs,
    );
    return isMajorityAcknowledged(statusesSinceCommit, voters().length, term, position);
  };

  const settleAcknowledged = (): void =>
    waiters.forEach((waiter) => {
      if (isAcknowledged(waiter)) waiter.settle(true);
    });

  const isPollNeeded = (member: string): boolean => {
    const status = pollers.get(member)?.latest();
    return [...waiters].some(
      ({ position, committedAtMs }) =>
        !status || status.askedAtMs < committedAtMs || status.position < position,
    );
  };

  const pollLoop = async (member: string, poller: StatusPoller): Promise<void> => {
    let delayMs = MIN_POLL_DELAY_MS;
    while (waiters.size > 0) {
      if (isPollNeeded(member)) {
        const previousPosition = poller.latest()?.position;
        await poller.poll();
        const hasAdvanced = poller.latest()?.position !== previousPosition;
        delayMs = hasAdvanced ? MIN_POLL_DELAY_MS : Math.min(MAX_POLL_DELAY_MS, delayMs * 2);
      }
      // Statuses from polls by other callers count as well.
      settleAcknowledged();
      await sleep(delayMs);
    }
  };

  const startPollLoops = (): void =>
    pollers.forEach((poller, member) => {
      if (polledMembers.has(member)) return;
      polledMembers.add(member);
      pollLoop(member, poller).finally(() => polledMembers.delete(member));
    });

  return {
    /** Resolves to whether a majority holds the position before the deadline (monotonic time). */
    wait: (
      term: number,
      position: number,
      committedAtMs: number,
      deadlineAtMs: number,
    ): Promise<boolean> =>
      new Promise((resolve) => {
        let timer: NodeJS.Timeout | undefined;
        const waiter: Waiter = {
          term,
          position,
          committedAtMs,
          settle: (hasMajority) => {
            waiters.delete(waiter);
            clearTimeout(timer);
            resolve(hasMajority);
          },
        };
        timer = setTimeout(
          () => waiter.settle(isAcknowledged(waiter)),
          Math.max(0, deadlineAtMs - nowMs()),
        );
        waiters.add(waiter);
        startPollLoops();
      }),
    /** Fails waits under terms before `term`: superseded terms acknowledge no more writes. */
    failBeforeTerm: (term: number): void =>
      waiters.forEach((waiter) => {
        if (waiter.term < term) waiter.settle(false);
      }),
    hasWaiters: () => waiters.size > 0,
    close: (): void => waiters.forEach((waiter) => waiter.settle(false)),
  };
};

export default createAcknowledgementWaiter;
