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
  let isCutOff = false;
  const cutOffListeners = new Set<() => void>();

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
    /** Calls the listener once work has to be answered without waiting for its end any longer. */
    onCutOff: (listener: () => void): (() => void) => {
      if (isCutOff) listener();
      else cutOffListeners.add(listener);
      return () => cutOffListeners.delete(listener);
    },
    /** Has the work still in progress answered with what is known of it. */
    cutOff: (): void => {
      isCutOff = true;
      cutOffListeners.forEach((listener) => listener());
    },
    stop: (): void => {
      phase = 'stopped';
    },
  };
};

export default createWorkTracker;
