import type { ConfigurationState, RateLimit } from '@auburngrade/coordination';
import type { ConfigurationStore } from '@auburngrade/platform';
import type Logger from '../log/logger';
import type PeerRegistry from '../routing/peerRegistry';
import type LeaseService from '../witness/leaseService';

/** Dependencies and settings of the quota service. */
interface QuotaServiceOptions {
  vm: string;
  incarnation: number;
  configuration: ConfigurationState;
  platform: ConfigurationStore;
  platformTimeoutMs: number;
  peers: PeerRegistry;
  leases: LeaseService;
  leaseMs: number;
  maxWaitMs: number;
  /** Longest wait of a request while a VM that may have tokens does not answer. */
  maxSilentWaitMs: number;
  /** Monotonic time of the configuration store's last confirmation of the known configuration. */
  confirmedAtMs(): number;
  /** Finds a quota's limit by the quota's name; undefined when it has none. */
  findLimit(name: string): RateLimit | undefined;
  nowMs(): number;
  logger: Logger;
}

export default QuotaServiceOptions;
