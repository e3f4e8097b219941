import type GroupEndpoint from '../seams/groupEndpoint';

const isOlder = (entry: GroupEndpoint, known: GroupEndpoint): boolean =>
  entry.startedAtUnixMs === known.startedAtUnixMs
    ? entry.sequence < known.sequence
    : entry.startedAtUnixMs < known.startedAtUnixMs;

/**
 * Replaces listed entries by what is known of the same endpoints where that is newer: a store that came back
 * from a copy lists what endpoints wrote before, until they write again.
 */
const mergeEndpointEntries = (
  known: readonly GroupEndpoint[],
  listed: readonly GroupEndpoint[],
): GroupEndpoint[] => {
  const knownById = new Map(known.map((endpoint) => [endpoint.id, endpoint]));
  return listed.map((entry) => {
    const existing = knownById.get(entry.id);
    return existing && isOlder(entry, existing) ? existing : entry;
  });
};

export default mergeEndpointEntries;
