import type createFreshnessTracker from './createFreshnessTracker';

/** Watermarks of the groups to which this VM has connections. */
type FreshnessTracker = ReturnType<typeof createFreshnessTracker>;

export default FreshnessTracker;
