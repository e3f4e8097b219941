import type createLeaseService from './createLeaseService';

/** This VM's lease and its part as a witness. */
type LeaseService = ReturnType<typeof createLeaseService>;

export default LeaseService;
