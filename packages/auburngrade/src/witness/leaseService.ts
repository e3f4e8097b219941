import type createLeaseService from './createLeaseService';

/** This VM's lease and its role as a witness of other VMs' leases. */
type LeaseService = ReturnType<typeof createLeaseService>;

export default LeaseService;
