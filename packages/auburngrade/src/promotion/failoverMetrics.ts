import type createFailoverMetrics from './createFailoverMetrics';

/** Metrics of the promotions run by this VM. */
type FailoverMetrics = ReturnType<typeof createFailoverMetrics>;

export default FailoverMetrics;
