/** Era of a store that was never restored. */
const FIRST_ERA = 1;
/** Fencing tokens that one era of the store can give out. */
const FENCES_PER_ERA = 2 ** 20;

/**
 * Creates the fencing token, or the epoch of a role, that follows the recorded one. Those of a later era of the
 * store are above all of earlier eras, whose last records may be lost.
 */
const createFence = (recordedFence: number, storeEra: number): number =>
  Math.max(recordedFence + 1, (storeEra - FIRST_ERA) * FENCES_PER_ERA);

export default createFence;
