/** Without a group in reach for this long a VM is isolated: two samples, so that one late answer is none. */
const ISOLATED_AFTER_MS = 100;
/** A process that is younger, and reaches the store, may start together with the whole fleet. */
const SETTLED_AFTER_MS = 1_500;
/** The balancer asks once a second and takes a VM out after two refusals. */
const BALANCER_NOTICE_MS = 2_200;

/** `connected`, `isolated` (callers are better off elsewhere), `left` (the balancer knows it by now). */
type Isolation = 'connected' | 'isolated' | 'left';

/**
 * Tells when a VM can serve no group, neither itself nor through another VM, so that its callers
 * are better off with VMs that can. A silence shorter than two questions of the balancer changes nothing.
 *
 * Load pattern: a data centre that is cut off from the others for seconds while its callers reach it.
 */
const createIsolationGauge = (startedAtMs: number) => {
  let connectedAtMs = startedAtMs;

  return {
    observe: (isServable: boolean, isStoreReached: boolean, nowMs: number): Isolation => {
      const isStarting = isStoreReached && nowMs - startedAtMs < SETTLED_AFTER_MS;
      if (isServable || isStarting) connectedAtMs = nowMs;
      const silentMs = nowMs - connectedAtMs;
      if (silentMs < ISOLATED_AFTER_MS) return 'connected';
      return silentMs < ISOLATED_AFTER_MS + BALANCER_NOTICE_MS ? 'isolated' : 'left';
    },
  };
};

export default createIsolationGauge;
