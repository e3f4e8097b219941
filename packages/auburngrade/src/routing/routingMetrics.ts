import type createRoutingMetrics from './createRoutingMetrics';

/** Metrics of routing between VMs and of retries. */
type RoutingMetrics = ReturnType<typeof createRoutingMetrics>;

export default RoutingMetrics;
