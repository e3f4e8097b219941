import type createVmLease from './createVmLease';

/** The short lease under which a VM uses and allocates quota units. */
type VmLease = ReturnType<typeof createVmLease>;

export default VmLease;
