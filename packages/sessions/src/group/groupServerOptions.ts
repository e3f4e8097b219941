import type { EvacuationPhase } from '@auburngrade/coordination';
import type createRateLimiter from '../limits/createRateLimiter';
import type EventLog from '../seams/eventLog';
import type FailoverClient from '../seams/failoverClient';
import type MemberDialer from '../seams/memberDialer';
import type GroupRecord from './groupRecord';

interface GroupServerOptions {
  group: string;
  /** Id of this VM, which owns the group. */
  ownerVm: string;
  dialer: MemberDialer;
  failover: FailoverClient;
  limiter: ReturnType<typeof createRateLimiter>;
  log: EventLog;
  nowMs(): number;
  /** Era of the platform's store. */
  storeEra(): number;
  getRecordedPrimary(): Pick<GroupRecord, 'primary' | 'term' | 'fence'>;
  record(next: Pick<GroupRecord, 'primary' | 'term' | 'fence'>): Promise<boolean>;
  /** How many replicas receive a commit before it is acknowledged. */
  syncReplicas(): number;
  /** Whether no earlier owner can still be using another primary. */
  canReplacePrimary(): boolean;
  /** Identifies the uninterrupted service of the group by this VM; undefined while it has none. */
  findTenure(): string | undefined;
  /** False while another VM may have replaced the primary without this VM knowing. */
  isAuthoritative(): boolean;
  /** Whether commits under way may still be acknowledged after the handover that ended the tenure. */
  isInHandoverGrace(tenure: string | undefined): boolean;
  /** How far the evacuation of a data centre is. */
  evacuationPhaseOf(dataCentre: string): EvacuationPhase;
  /** Client account used for the owner's own commands, such as status. */
  controlAccount(): string;
}

export default GroupServerOptions;
