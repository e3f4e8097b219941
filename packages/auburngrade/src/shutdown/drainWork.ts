import type Settings from '../settings/settings';
import type WorkTracker from './workTracker';
import sleep from '../time/sleep';

interface DrainOptions {
  tracker: WorkTracker;
  timings: Settings['shutdown'];
  /** Time since the signal to stop, of which the process knew nothing; it is part of the drain timeout. */
  lateMs: number;
  /** Notifies the other VMs; the drain does not depend on its success. */
  announce(): Promise<void>;
  /** Ends the work still running at the endpoints, so that it fails with what is known of it. */
  endWork(): void;
}

/** Time for the answers to work that was ended at its endpoint, before the rest is answered unseen. */
const ANSWER_WAIT_MS = 300;
/** Time for the answers that the cut-off gives, which need no I/O. */
const CUT_OFF_WAIT_MS = 100;

/** Whether the work has ended by the time given. */
const hasEndedWithin = async (workEnded: Promise<void>, waitMs: number): Promise<boolean> => {
  let timer: NodeJS.Timeout | undefined;
  const timeout = new Promise<boolean>((resolve) => {
    timer = setTimeout(() => resolve(false), waitMs);
  });
  const hasEnded = await Promise.race([workEnded.then(() => true), timeout]);
  clearTimeout(timer);
  return hasEnded;
};

/**
 * Rejects new work, notifies the other VMs and resolves when running work has been answered: by
 * its end, or when the drain timed out with what is known of it. The VM keeps replying for at least
 * `noticeMs`, so that callers get a refusal, not a closed port, while the load balancer still
 * routes to it.
 */
const drainWork = async (options: DrainOptions): Promise<void> => {
  const { tracker, timings, announce, endWork } = options;
  const drainTimeoutMs = Math.max(0, timings.drainTimeoutMs - options.lateMs);
  const workEnded = new Promise<void>((resolve) => {
    tracker.drain(resolve);
  });
  const noticePeriod = Promise.allSettled([announce(), sleep(timings.noticeMs)]);
  if (!(await hasEndedWithin(workEnded, drainTimeoutMs))) {
    endWork();
    if (!(await hasEndedWithin(workEnded, ANSWER_WAIT_MS))) {
      tracker.cutOff();
      await hasEndedWithin(workEnded, CUT_OFF_WAIT_MS);
    }
  }
  await noticePeriod;
  tracker.stop();
};

export default drainWork;
