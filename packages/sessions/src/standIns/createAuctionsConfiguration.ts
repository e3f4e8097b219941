import type FleetConfiguration from '../seams/fleetConfiguration';
import auctionsRoute from './auctionsRoute';

/** Creates a configuration with one database, group, account and key, and the given changes. */
const createAuctionsConfiguration = (
  changes: Partial<FleetConfiguration> = {},
): FleetConfiguration => ({
  version: 1,
  routes: new Map([['lots', auctionsRoute]]),
  accountsByKey: new Map([['k1', 'ranch']]),
  limits: new Map(),
  groups: new Map([['auctions', { maxConnections: 21, syncReplicas: 0, warmupRatePerS: 0 }]]),
  transactionIdleMs: 3_000,
  ...changes,
});

export default createAuctionsConfiguration;
