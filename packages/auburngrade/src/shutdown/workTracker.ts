import type { createWorkTracker } from '@auburngrade/coordination';

/** Counts work in progress and rejects new work during a shutdown. */
type WorkTracker = ReturnType<typeof createWorkTracker>;

export default WorkTracker;
