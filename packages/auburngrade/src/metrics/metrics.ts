import type createMetrics from './createMetrics';

/** The metrics of a daemon. */
type Metrics = ReturnType<typeof createMetrics>;

export default Metrics;
