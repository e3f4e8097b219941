import type DatabaseRoute from '../seams/databaseRoute';
import type FleetConfiguration from '../seams/fleetConfiguration';

/** The account under which callers without a known key use a public database. */
const PUBLIC_ACCOUNT = 'public';

type Finding =
  | { kind: 'found'; route: DatabaseRoute; account: string }
  | { kind: 'unknownDatabase' | 'unauthenticated' };

/** Finds what a caller may use by a configuration. */
const findCaller = (
  configuration: FleetConfiguration,
  database: string,
  key: string | undefined,
): Finding => {
  const route = configuration.routes.get(database);
  if (!route) return { kind: 'unknownDatabase' };
  const account = key === undefined ? undefined : configuration.accountsByKey.get(key);
  if (account !== undefined) return { kind: 'found', route, account };
  return route.isPublic
    ? { kind: 'found', route, account: PUBLIC_ACCOUNT }
    : { kind: 'unauthenticated' };
};

export default findCaller;
