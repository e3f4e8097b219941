import type LeaseTerm from './leaseTerm';
import UNSTATED_LEASE_MS from './unstatedLeaseMs';

/**
 * The length to assume for another VM's lease. If it is omitted, the VM may run an earlier version
 * with the same setting as this VM, so the longer of that setting and `UNSTATED_LEASE_MS` counts.
 */
const effectiveLeaseMs = ({ leaseMs }: LeaseTerm, ownLeaseMs: number): number =>
  leaseMs ?? Math.max(ownLeaseMs, UNSTATED_LEASE_MS);

export default effectiveLeaseMs;
