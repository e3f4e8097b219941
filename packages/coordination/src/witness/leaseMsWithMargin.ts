/** A VM's clock may run slower than another VM's by this ratio. */
const CLOCK_MARGIN_RATIO = 0.01;
const CLOCK_MARGIN_MS = 50;

/** Time on any VM's clock after which a lease of `leaseMs` has certainly expired on every other. */
const leaseMsWithMargin = (leaseMs: number): number =>
  leaseMs * (1 + CLOCK_MARGIN_RATIO) + CLOCK_MARGIN_MS;

export default leaseMsWithMargin;
