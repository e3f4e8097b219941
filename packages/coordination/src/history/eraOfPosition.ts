import REVISIONS_PER_ERA from './revisionsPerEra';

/** The store's era in which a history position was given out. */
const eraOfPosition = (position: number): number => Math.floor(position / REVISIONS_PER_ERA);

export default eraOfPosition;
