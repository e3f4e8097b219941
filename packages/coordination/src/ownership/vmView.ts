/** This VM's knowledge of a VM of the fleet, itself included. */
interface VmView {
  vm: string;
  dataCentre: string;
  /** Whether majorities count it. */
  isVoter: boolean;
  /** Its process; empty for a VM that this one knows from others only. */
  incarnation: string;
  /** A heartbeat arrived recently; always true for the VM itself. */
  hasRecentHeartbeat: boolean;
  /** Its process has run long enough to detect that another VM is silent. */
  isSettled: boolean;
  isLeaving: boolean;
  /** It is short of CPU. */
  isStrained: boolean;
  /** Operators evacuate its data centre. */
  isInEvacuatedDataCentre: boolean;
  /** It reaches the platform's store, which it needs to record ownership. */
  isStoreReachable: boolean;
  /** VMs whose heartbeats it reports to receive. */
  hears: ReadonlySet<string>;
}

export default VmView;
