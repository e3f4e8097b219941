import type MemberPool from './memberPool';
import type PooledMember from './pooledMember';

/** A caller's open transaction, with the connection that it holds. */
interface GroupTransaction {
  id: string;
  session: number;
  endpointId: string;
  pool: MemberPool;
  member: PooledMember;
  hasWritten: boolean;
  isRunning: boolean;
  idleTimer: NodeJS.Timeout | undefined;
  idleMs: number;
}

export default GroupTransaction;
