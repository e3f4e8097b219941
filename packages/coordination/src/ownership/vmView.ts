/** What a VM knows of another VM, or of itself. */
interface VmView {
  vm: string;
  dataCentre: string;
  incarnation: string;
  /** Heard from lately; true for the VM itself. */
  isHeard: boolean;
  /** Its process has run long enough to tell that another VM is silent. */
  isSettled: boolean;
  isLeaving: boolean;
  /** It is short of processor time. */
  isStrained: boolean;
  /** It reaches the platform's store, without which it can record nothing. */
  isStoreReachable: boolean;
  /** VMs that it says it hears. */
  hears: ReadonlySet<string>;
}

export default VmView;
