import type { createWorkTracker } from '@auburngrade/coordination';

/** Counts the work in progress through a shutdown. */
type WorkTracker = ReturnType<typeof createWorkTracker>;

export default WorkTracker;
