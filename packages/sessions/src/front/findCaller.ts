import type DatabaseRoute from '../seams/databaseRoute';
import type FleetConfiguration from '../seams/fleetConfiguration';

/** Account of callers that use a public database without a valid key. */
const PUBLIC_ACCOUNT = 'public';

type CallerLookup =
  | { kind: 'found'; route: DatabaseRoute; account: string }
  | { kind: 'unknownDatabase' | 'unauthenticated' };

/** Looks up the route and account of a caller by its database and key. */
const findCaller = (
  configuration: FleetConfiguration,
  database: string,
  key: string | undefined,
): CallerLookup => {
  const route = configuration.routes.get(database);
  if (!route) return { kind: 'unknownDatabase' };
  const account = key === undefined ? undefined : configuration.accountsByKey.get(key);
  if (account !== undefined) return { kind: 'found', route, account };
  return route.isPublic
    ? { kind: 'found', route, account: PUBLIC_ACCOUNT }
    : { kind: 'unauthenticated' };
};

export default findCaller;
