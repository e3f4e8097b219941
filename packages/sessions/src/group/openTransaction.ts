import type MemberPool from './memberPool';
import type PooledConnection from './pooledConnection';

/** A caller's open transaction and the connection that is reserved for it. */
interface OpenTransaction {
  id: string;
  session: number;
  endpointId: string;
  pool: MemberPool;
  member: PooledConnection;
  hasWritten: boolean;
  isStatementRunning: boolean;
  idleTimer: NodeJS.Timeout | undefined;
  idleMs: number;
}

export default OpenTransaction;
