import type { ConfigurationState, RateLimit } from '@auburngrade/coordination';
import type { Platform } from '@auburngrade/platform';
import type Logger from '../log/logger';
import type PeerRegistry from '../routing/peerRegistry';
import type LeaseService from '../witness/leaseService';

/** What the service of shares works with. */
interface ShareServiceOptions {
  vm: string;
  incarnation: number;
  configuration: ConfigurationState;
  platform: Platform;
  platformTimeoutMs: number;
  peers: PeerRegistry;
  leases: LeaseService;
  leaseMs: number;
  maxWaitMs: number;
  /** The same while another VM that may have tokens does not answer. */
  maxSilentWaitMs: number;
  confirmedAtMs(): number;
  /** The limit of a share by its name. */
  limitOf(name: string): RateLimit | undefined;
  nowMs(): number;
  logger: Logger;
}

export default ShareServiceOptions;
