import type PooledConnection from './pooledConnection';

/** A connection checked out of a pool; call either `release` or `discard`, once. */
interface LentConnection extends PooledConnection {
  /** Closes the connection, for an unresponsive member; the account is not charged for the time. */
  discard(): void;
}

export default LentConnection;
