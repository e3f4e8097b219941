/** Processor time, in cores, from which a VM is preferred as a voter. */
const LARGE_VM_CORES = 0.9;

export default LARGE_VM_CORES;
