import type createFailoverMetrics from './createFailoverMetrics';

/** The metrics of promotions. */
type FailoverMetrics = ReturnType<typeof createFailoverMetrics>;

export default FailoverMetrics;
