import type createFreshnessTracker from './createFreshnessTracker';

/** Watermarks of the groups whose connections this VM holds. */
type FreshnessTracker = ReturnType<typeof createFreshnessTracker>;

export default FreshnessTracker;
