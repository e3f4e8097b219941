import type { ChannelCredentials } from '@grpc/grpc-js';

/** The deployment that a test or a measurement runs. */
interface FleetOptions {
  dataCentres: string[];
  vmsPerDataCentre: number;
  groups: string[];
  membersPerGroup: number;
  connectionBudget: number;
  /** Connections that each member accepts. */
  memberConnectionLimit: number;
  /** Puts a fault proxy on each link from a VM to a member, to a VM and to the platform. */
  hasFaultLinks: boolean;
  /** Puts a fault proxy before each member's replication port. */
  hasReplicationLinks: boolean;
  /** One-way delay in milliseconds of a link between two data centres, with fault links. */
  betweenDataCentresDelayMs: number;
  /** One-way delay in milliseconds between a caller and a VM; 0: callers connect directly. */
  clientDelayMs: number;
  replicationLagMs: number;
  /** Runs VMs as the one binary instead of the bundle on Node. */
  isBinary: boolean;
  /** Credentials of the clients of callers and operators; plain without them. */
  clientCredentials: ChannelCredentials | undefined;
  /** Settings added to each VM's own. */
  vmSettings: Record<string, unknown>;
}

export default FleetOptions;
