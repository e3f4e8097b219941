import type { LogPosition } from '@auburngrade/coordination';
import type EventLog from '../seams/eventLog';
import type FailoverClient from '../seams/failoverClient';
import type GroupRecord from './groupRecord';
import type MemberPool from './memberPool';

interface PrimaryManagerOptions {
  group: string;
  ownerVm: string;
  pools: ReadonlyMap<string, MemberPool>;
  failover: FailoverClient;
  log: EventLog;
  nowMs(): number;
  /** The last recorded primary with its term and fence. */
  getRecordedPrimary(): Pick<GroupRecord, 'primary' | 'term' | 'fence'>;
  /** Era of the platform's store. */
  storeEra(): number;
  /** Records the next primary; returns false when this VM no longer owns the group. */
  record(next: Pick<GroupRecord, 'primary' | 'term' | 'fence'>): Promise<boolean>;
  /** Identifies the uninterrupted service of the group by this VM; undefined while it has none. */
  findTenure(): string | undefined;
  /** Whether a replacement is safe now: no earlier owner can still be using another primary. */
  canReplacePrimary(): boolean;
  /** How many replicas receive a commit before it is acknowledged. */
  syncReplicas(): number;
  /** Endpoints whose entries are gone, and whose logs no other endpoint has taken over. */
  departedEndpoints(): readonly string[];
  /** Counts open transactions and in-flight statements at an endpoint. */
  countOpenWork(endpointId: string): number;
  onPrimaryFound(endpointId: string, position: LogPosition, askedAtMs: number): void;
  onChange(): void;
  controlAccount(): string;
}

export default PrimaryManagerOptions;
