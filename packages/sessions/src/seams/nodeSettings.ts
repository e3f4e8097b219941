/** What a VM is told about itself and about its surroundings when it starts. */
interface NodeSettings {
  vm: string;
  dataCentre: string;
  ip: string;
  /** `host:port` addresses. */
  callerAddress: string;
  readinessAddress: string;
  /** First port that is free for connections between VMs. */
  internalPort: number;
  storeAddress: string;
  failoverAddress: string;
  minLeaseMs: number;
  /** How long a process may take to end after it was asked to. */
  graceMs: number;
  memoryMb: number;
}

export default NodeSettings;
