/** Fencing tokens that one era of the store can give out. */
const FENCES_PER_ERA = 2 ** 20;

/**
 * Creates the fencing token after `recordedFence`. Tokens of a later era of the store are above those of all
 * earlier eras, whose last records may be lost.
 */
const createFence = (recordedFence: number, storeEra: number): number =>
  Math.max(recordedFence + 1, storeEra * FENCES_PER_ERA);

export default createFence;
