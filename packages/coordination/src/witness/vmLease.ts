import type createVmLease from './createVmLease';

/** The short lease under which a VM spends shares of rates. */
type VmLease = ReturnType<typeof createVmLease>;

export default VmLease;
