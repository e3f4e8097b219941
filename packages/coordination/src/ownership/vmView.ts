/** What a VM knows of another VM, or of itself. */
interface VmView {
  vm: string;
  incarnation: string;
  isRegistered: boolean;
  /** Heard from lately; true for the VM itself. */
  isHeard: boolean;
  isLeaving: boolean;
  /** VMs that it says it hears. */
  hears: ReadonlySet<string>;
}

export default VmView;
