/** A VM is isolated after this time without a reachable group: two samples, so one may be late. */
const ISOLATED_AFTER_MS = 100;
/** Grace period after start, as all VMs may be starting; only while the store is reachable. */
const STARTUP_GRACE_MS = 1_500;
/** The load balancer checks once a second and removes a VM after two failed checks. */
const BALANCER_DETECTION_MS = 2_200;

/** `isolated`: callers should use other VMs. `left`: the load balancer has removed this VM. */
type IsolationState = 'connected' | 'isolated' | 'left';

/**
 * Detects when a VM can serve no group, itself or through another VM, so that its callers should
 * go to other VMs. An outage shorter than two health checks of the load balancer has no effect.
 * Handles a data centre partitioned from the others for seconds that callers still reach.
 */
const createIsolationDetector = (startedAtMs: number) => {
  let lastConnectedAtMs = startedAtMs;

  return {
    observe: (canServeGroup: boolean, isStoreReachable: boolean, nowMs: number): IsolationState => {
      const isStarting = isStoreReachable && nowMs - startedAtMs < STARTUP_GRACE_MS;
      if (canServeGroup || isStarting) lastConnectedAtMs = nowMs;
      const isolatedForMs = nowMs - lastConnectedAtMs;
      if (isolatedForMs < ISOLATED_AFTER_MS) return 'connected';
      return isolatedForMs < ISOLATED_AFTER_MS + BALANCER_DETECTION_MS ? 'isolated' : 'left';
    },
  };
};

export default createIsolationDetector;
