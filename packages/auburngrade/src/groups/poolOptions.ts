import type PoolSettings from './poolSettings';

/** How a connection pool treats client accounts. */
interface PoolOptions extends PoolSettings {
  /** Time within which a new connection has to be open. */
  connectTimeoutMs: number;
  /** Whether this VM may have connections now. */
  mayOpen(): boolean;
  /** The weight of a client account. */
  weightOf(account: string): number;
}

export default PoolOptions;
