/** Start-up settings of a VM. Addresses are `host:port`. */
interface NodeSettings {
  vm: string;
  dataCentre: string;
  ip: string;
  callerAddress: string;
  readinessAddress: string;
  /** First port of the range for connections between VMs. */
  internalPort: number;
  storeAddress: string;
  failoverAddress: string;
  minLeaseMs: number;
  /** Time that a process gets to shut down after it was asked to stop. */
  graceMs: number;
  memoryMb: number;
}

export default NodeSettings;
