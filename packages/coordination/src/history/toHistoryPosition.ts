import REVISIONS_PER_ERA from './revisionsPerEra';

/**
 * Numbers the revisions of a store over all its eras: a store that comes back from a copy gives revisions out
 * again, in a higher era. In era 0, for a store without eras, the number is the revision.
 */
const toHistoryPosition = (era: number, revision: number): number =>
  era * REVISIONS_PER_ERA + revision;

export default toHistoryPosition;
