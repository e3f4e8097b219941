import type MemberConnection from '../seams/memberConnection';
import type createPreparedStatements from './createPreparedStatements';

/** A pooled connection to an endpoint, with the session state left by its last use. */
interface PooledConnection {
  memberConnection: MemberConnection;
  account: string;
  /** Session values that are set on the connection; undefined if only their key was kept. */
  values: ReadonlyMap<string, string> | undefined;
  /** The values' key, see `toValuesKey`. */
  valuesKey: string;
  prepared: ReturnType<typeof createPreparedStatements>;
  lastUsedAtMs: number;
  isEnded: boolean;
}

export default PooledConnection;
