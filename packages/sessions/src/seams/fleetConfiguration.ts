import type DatabaseRoute from './databaseRoute';

/** The decoded operator's configuration that is in force. */
interface FleetConfiguration {
  version: number;
  routes: ReadonlyMap<string, DatabaseRoute>;
  /** Client account by key. */
  accountsByKey: ReadonlyMap<string, string>;
  limits: ReadonlyMap<string, { ratePerS: number; burst: number }>;
  /**
   * By group name; `maxConnections` applies per endpoint. `warmupRatePerS`: statements a second that a cold
   * endpoint may get from all VMs together; 0 for no limit.
   */
  groups: ReadonlyMap<
    string,
    { maxConnections: number; syncReplicas: number; warmupRatePerS: number }
  >;
  /** Idle time after which a transaction may be rolled back. */
  transactionIdleMs: number;
}

export default FleetConfiguration;
