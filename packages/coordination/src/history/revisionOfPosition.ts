import REVISIONS_PER_ERA from './revisionsPerEra';

/** The store's revision of a history position, without its era. */
const revisionOfPosition = (position: number): number => position % REVISIONS_PER_ERA;

export default revisionOfPosition;
