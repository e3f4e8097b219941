import type CallerLimits from '../limits/callerLimits';

/** Start-up settings of a VM. Addresses are `host:port`. */
interface NodeSettings {
  vm: string;
  dataCentre: string;
  /** All data centres of the deployment, in the order of the settings. */
  dataCentres: readonly string[];
  ip: string;
  callerAddress: string;
  readinessAddress: string;
  /** First port of the range for connections between VMs. */
  internalPort: number;
  storeAddress: string;
  failoverAddress: string;
  minLeaseMs: number;
  /** Time from the acknowledgement of an evacuation until nothing may reach the endpoints of its data centre. */
  evacuationBoundMs: number;
  /** Time that a process gets to shut down after it was asked to stop. */
  graceMs: number;
  memoryMb: number;
  /** Open descriptors that the process may have; undefined if the settings state none. */
  maxDescriptors?: number;
  /** Bounds on callers that the settings state; the others are derived. */
  callerLimits?: Partial<CallerLimits>;
  /** Processor time in cores. */
  cores: number;
  /** Whether all VMs of the deployment start for the first time. */
  isFirstStart: boolean;
}

export default NodeSettings;
