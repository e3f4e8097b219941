/** A VM's clock may run this much slower than another's. */
const CLOCK_MARGIN_RATIO = 0.01;
const CLOCK_MARGIN_MS = 50;

/** After this time on any VM's clock a lease of `leaseMs` has certainly lapsed on every other. */
const certainLeaseMs = (leaseMs: number): number =>
  leaseMs * (1 + CLOCK_MARGIN_RATIO) + CLOCK_MARGIN_MS;

export default certainLeaseMs;
