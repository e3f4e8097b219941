import type DatabaseRoute from '../seams/databaseRoute';

/** The route of a test's only database. */
const auctionsRoute: DatabaseRoute = {
  database: 'lots',
  group: 'auctions',
  freshness: { kind: 'ownWrites', maxAgeMs: 2_500 },
  statementTimeoutMs: 1_000,
  targetLatencyMs: 200,
  priority: 1,
  isPublic: false,
};

export default auctionsRoute;
