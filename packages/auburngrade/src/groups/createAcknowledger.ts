import { isMajorityAcknowledged, type MemberStatus } from '@auburngrade/coordination';
import sleep from '../time/sleep';
import type StatusPoller from './statusPoller';

interface Waiter {
  term: number;
  position: number;
  committedAtMs: number;
  settle(isHeld: boolean): void;
}

const POLL_DELAY_MS = 1;
/** A member that does not answer, or stays behind, is polled less and less often. */
const MAX_POLL_DELAY_MS = 50;

/**
 * Waits until a majority of the voters hold a position. Each member is polled by a
 * loop of its own while anybody waits, so a silent one delays nobody; one answer
 * serves every waiting write.
 */
const createAcknowledger = (
  pollers: ReadonlyMap<string, StatusPoller>,
  voters: () => readonly string[],
  nowMs: () => number,
) => {
  const waiters = new Set<Waiter>();
  const looping = new Set<string>();

  const statuses = (): MemberStatus[] =>
    voters().flatMap((name) => pollers.get(name)?.latest() ?? []);

  const isHeld = ({ term, position, committedAtMs }: Waiter): boolean => {
    const current = statuses().filter(({ askedAtMs }) => askedAtMs >= committedAtMs);
    return isMajorityAcknowledged(current, voters().length, term, position);
  };

  const settleHeld = (): void =>
    waiters.forEach((waiter) => {
      if (isHeld(waiter)) waiter.settle(true);
    });

  const isNeeded = (member: string): boolean => {
    const status = pollers.get(member)?.latest();
    return [...waiters].some(
      ({ position, committedAtMs }) =>
        !status || status.askedAtMs < committedAtMs || status.position < position,
    );
  };

  const pollLoop = async (member: string, poller: StatusPoller): Promise<void> => {
    let delayMs = POLL_DELAY_MS;
    while (waiters.size > 0) {
      if (isNeeded(member)) {
        const before = poller.latest()?.position;
        await poller.poll();
        const hasMoved = poller.latest()?.position !== before;
        delayMs = hasMoved ? POLL_DELAY_MS : Math.min(MAX_POLL_DELAY_MS, delayMs * 2);
      }
      // Polls that others asked for count as well.
      settleHeld();
      await sleep(delayMs);
    }
  };

  const startLoops = (): void =>
    pollers.forEach((poller, member) => {
      if (looping.has(member)) return;
      looping.add(member);
      pollLoop(member, poller).finally(() => looping.delete(member));
    });

  return {
    /** Resolves with whether a majority came to hold the position before the deadline. */
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
          settle: (held) => {
            waiters.delete(waiter);
            clearTimeout(timer);
            resolve(held);
          },
        };
        timer = setTimeout(
          () => waiter.settle(isHeld(waiter)),
          Math.max(0, deadlineAtMs - nowMs()),
        );
        waiters.add(waiter);
        startLoops();
      }),
    /** Ends the waits of terms that are over: nothing is acknowledged under them any more. */
    failBefore: (term: number): void =>
      waiters.forEach((waiter) => {
        if (waiter.term < term) waiter.settle(false);
      }),
    isWaitedFor: () => waiters.size > 0,
    close: (): void => waiters.forEach((waiter) => waiter.settle(false)),
  };
};

export default createAcknowledger;
