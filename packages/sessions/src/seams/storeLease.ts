/** A lease, valid only in the era of the store that granted it: lease numbers may be given out again. */
interface StoreLease {
  id: number;
  era: number;
  ttlMs: number;
}

export default StoreLease;
