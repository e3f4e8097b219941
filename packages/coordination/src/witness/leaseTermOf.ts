import type LeaseTerm from './leaseTerm';
import UNSTATED_LEASE_MS from './unstatedLeaseMs';

/** Names a term of a lease of this length to other VMs. */
const leaseTermOf = (term: number, leaseMs: number): LeaseTerm =>
  leaseMs === UNSTATED_LEASE_MS ? { term } : { term, leaseMs };

export default leaseTermOf;
