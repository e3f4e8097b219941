import type MemberConnection from '../seams/memberConnection';
import createPreparedStatements from './createPreparedStatements';
import type PooledConnection from './pooledConnection';

/** A connection that was just opened: no session has left values or prepared statements on it. */
const createPooledConnection = (
  memberConnection: MemberConnection,
  account: string,
  nowMs: number,
): PooledConnection => ({
  memberConnection,
  account,
  values: new Map(),
  valuesKey: '',
  prepared: createPreparedStatements(),
  lastUsedAtMs: nowMs,
  isEnded: false,
});

export default createPooledConnection;
