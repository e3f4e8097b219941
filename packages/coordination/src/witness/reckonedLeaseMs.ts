import type LeaseTerm from './leaseTerm';
import UNSTATED_LEASE_MS from './unstatedLeaseMs';

/**
 * The length that another VM's lease counts with. Where it is not stated, a VM of an earlier
 * version may have the same setting as this one, so the longer of the two counts.
 */
const reckonedLeaseMs = ({ leaseMs }: LeaseTerm, ownLeaseMs: number): number =>
  leaseMs ?? Math.max(ownLeaseMs, UNSTATED_LEASE_MS);

export default reckonedLeaseMs;
