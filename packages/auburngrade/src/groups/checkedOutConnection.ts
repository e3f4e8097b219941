import type PooledConnection from './pooledConnection';

/** A connection of a pool; either `release` or `discard` ends its use. */
interface CheckedOutConnection extends PooledConnection {
  /** Closes the connection, for an unresponsive member; the account is not charged for the time. */
  discard(): void;
}

export default CheckedOutConnection;
