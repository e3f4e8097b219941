import type Settings from '../settings/settings';
import type WorkTracker from './workTracker';
import sleep from '../time/sleep';

interface DrainOptions {
  tracker: WorkTracker;
  timings: Settings['shutdown'];
  announce(): Promise<void>;
  /** Rolls back the transactions still open when all work has ended or the drain timed out. */
  abortAll(): void;
}

/**
 * Rejects new work, notifies the other VMs and resolves when running work has ended or the
 * drain timed out. The VM keeps replying for at least `noticeMs`, so that callers get a
 * refusal, not a closed port, while the load balancer still routes to it.
 */
const drainWork = async ({ tracker, timings, announce, abortAll }: DrainOptions): Promise<void> => {
  const workEnded = new Promise<void>((resolve) => {
    tracker.drain(resolve);
  });
  const noticePeriod = Promise.all([announce(), sleep(timings.noticeMs)]);
  let timer: NodeJS.Timeout | undefined;
  const drainTimeout = new Promise<void>((resolve) => {
    timer = setTimeout(resolve, timings.drainTimeoutMs);
  });
  await Promise.race([workEnded, drainTimeout]);
  clearTimeout(timer);
  abortAll();
  await noticePeriod;
  tracker.stop();
};

export default drainWork;
