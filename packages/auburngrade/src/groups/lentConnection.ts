import type PooledConnection from './pooledConnection';

/** A connection of a pool; either `release` or `discard` ends its use. */
interface LentConnection extends PooledConnection {
  /** Closes the connection of a member that is gone; the account is not charged for the time. */
  discard(): void;
}

export default LentConnection;
