/** Revisions that a store can give out in one era. */
const REVISIONS_PER_ERA = 2 ** 40;

export default REVISIONS_PER_ERA;
