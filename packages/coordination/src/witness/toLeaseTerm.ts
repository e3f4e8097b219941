import type LeaseTerm from './leaseTerm';
import UNSTATED_LEASE_MS from './unstatedLeaseMs';

/** Builds the lease term sent to other VMs; omits the length if it is `UNSTATED_LEASE_MS`. */
const toLeaseTerm = (term: number, leaseMs: number): LeaseTerm =>
  leaseMs === UNSTATED_LEASE_MS ? { term } : { term, leaseMs };

export default toLeaseTerm;
