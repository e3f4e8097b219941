/* eslint-disable no-bitwise -- integer hash mixing */
const FIRST_MULTIPLIER = 0x85ebca6b;
const SECOND_MULTIPLIER = 0xc2b2ae35;
const KEY_MULTIPLIER = 0x9e3779b1;

/** Score of a candidate for a key: their hashes mixed by MurmurHash3's 32-bit finalizer. */
const rendezvousScore = (candidateHash: number, keyHash: number): number => {
  let mixed = candidateHash ^ Math.imul(keyHash, KEY_MULTIPLIER);
  mixed = Math.imul(mixed ^ (mixed >>> 16), FIRST_MULTIPLIER);
  mixed = Math.imul(mixed ^ (mixed >>> 13), SECOND_MULTIPLIER);
  return (mixed ^ (mixed >>> 16)) >>> 0;
};

export default rendezvousScore;
