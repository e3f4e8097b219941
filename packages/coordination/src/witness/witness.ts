import type createWitness from './createWitness';

/** A VM's part as a witness of other VMs' leases. */
type Witness = ReturnType<typeof createWitness>;

export default Witness;
