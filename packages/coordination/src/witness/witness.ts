import type createWitness from './createWitness';

/** The role of a VM that renews other VMs' leases. */
type Witness = ReturnType<typeof createWitness>;

export default Witness;
