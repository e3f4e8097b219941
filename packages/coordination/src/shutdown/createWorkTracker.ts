import notRun from '../verdict/notRun';

type Phase = 'serving' | 'draining' | 'stopped';

/** When a refused request may succeed elsewhere: a balancer has noticed by then. */
const RETRY_AFTER_MS = 100;

/**
 * Counts the work in progress through a shutdown: while draining new work is refused as not
 * run, and `onIdle` is called once the last piece has ended.
 */
const createWorkTracker = () => {
  let phase: Phase = 'serving';
  let openCount = 0;
  let onIdle = (): void => {};

  const leave = (): void => {
    openCount -= 1;
    if (phase === 'draining' && openCount === 0) onIdle();
  };

  return {
    phase: () => phase,
    openCount: () => openCount,
    /** Counts one piece of work until the returned function is called. @throws RefusalError `shuttingDown` */
    enter: (): (() => void) => {
      if (phase !== 'serving') {
        throw notRun('shuttingDown', 'the VM is shutting down', RETRY_AFTER_MS);
      }
      openCount += 1;
      let hasLeft = false;
      return () => {
        if (!hasLeft) leave();
        hasLeft = true;
      };
    },
    /** Refuses new work from now on. */
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
