import type Settings from '../settings/settings';
import type WorkTracker from './workTracker';
import sleep from '../time/sleep';

interface DrainOptions {
  tracker: WorkTracker;
  timings: Settings['shutdown'];
  announce(): Promise<void>;
  /** Ends what is still open at the end of the time given to it. */
  abortAll(): void;
}

/**
 * Refuses new work, tells the other VMs, and resolves when what was running has ended. The
 * VM goes on answering for `noticeMs` at least, so that callers get a refusal and not a
 * closed port while the balancer still sends them here.
 */
const drainWork = async ({ tracker, timings, announce, abortAll }: DrainOptions): Promise<void> => {
  const idle = new Promise<void>((resolve) => {
    tracker.drain(resolve);
  });
  const notice = Promise.all([announce(), sleep(timings.noticeMs)]);
  let timer: NodeJS.Timeout | undefined;
  const bound = new Promise<void>((resolve) => {
    timer = setTimeout(resolve, timings.drainTimeoutMs);
  });
  await Promise.race([idle, bound]);
  clearTimeout(timer);
  abortAll();
  await notice;
  tracker.stop();
};

export default drainWork;
