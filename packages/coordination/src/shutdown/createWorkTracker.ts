import createNotRunError from '../verdict/createNotRunError';

type Phase = 'serving' | 'draining' | 'stopped';

/** By then a load balancer has noticed the shutdown, so that a retry reaches another VM. */
const RETRY_AFTER_MS = 100;

/**
 * Counts requests in progress for a graceful shutdown. While draining, new work is refused
 * with `notRun`, and the callback given to `drain` runs once no work is left.
 */
const createWorkTracker = () => {
  let phase: Phase = 'serving';
  let openCount = 0;
  let onIdle = (): void => {};

  const finishWork = (): void => {
    openCount -= 1;
    if (phase === 'draining' && openCount === 0) onIdle();
  };

  return {
    phase: () => phase,
    getActiveCount: () => openCount,
    /** Counts one work item until the returned function is called. @throws RefusalError `shuttingDown` */
    startWork: (): (() => void) => {
      if (phase !== 'serving') {
        throw createNotRunError('shuttingDown', 'the VM is shutting down', RETRY_AFTER_MS);
      }
      openCount += 1;
      let isFinished = false;
      return () => {
        if (!isFinished) finishWork();
        isFinished = true;
      };
    },
    /** Refuses new work from now on; calls `whenIdle` when the work in progress has ended. */
    drain: (whenIdle: () => void): void => {
      phase = 'draining';
      onIdle = whenIdle;
      if (openCount === 0) onIdle();
    },
    stop: (): void => {
      phase = 'stopped';
    },
  };
};

export default createWorkTracker;
