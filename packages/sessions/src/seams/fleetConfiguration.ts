import type DatabaseRoute from './databaseRoute';

/** The operator's configuration in force, decoded. */
interface FleetConfiguration {
  version: number;
  routes: ReadonlyMap<string, DatabaseRoute>;
  /** Client account by key. */
  accountsByKey: ReadonlyMap<string, string>;
  limits: ReadonlyMap<string, { ratePerS: number; burst: number }>;
  groups: ReadonlyMap<string, { maxConnections: number; syncReplicas: number }>;
  /** A transaction that is idle for longer may be ended. */
  transactionIdleMs: number;
}

export default FleetConfiguration;
