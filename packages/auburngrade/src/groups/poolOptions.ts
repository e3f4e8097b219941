import type PoolSettings from './poolSettings';

/** Options of a connection pool. */
interface PoolOptions extends PoolSettings {
  /** Timeout for opening a connection. */
  connectTimeoutMs: number;
  /** Whether this VM may open connections to the group now. */
  mayOpen(): boolean;
  /** Fair-queue weight of a client account. */
  weightOf(account: string): number;
}

export default PoolOptions;
