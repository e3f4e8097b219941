/* eslint-disable no-bitwise -- integer hash mixing */
const FIRST_MULTIPLIER = 0x85ebca6b;
const SECOND_MULTIPLIER = 0xc2b2ae35;
const WEIGHT_OF_SUBJECT = 0x9e3779b1;

/** Score of a candidate for a subject, from their hashes, by MurmurHash3's 32-bit finalizer. */
const rendezvousScore = (candidateHash: number, subjectHash: number): number => {
  let mixed = candidateHash ^ Math.imul(subjectHash, WEIGHT_OF_SUBJECT);
  mixed = Math.imul(mixed ^ (mixed >>> 16), FIRST_MULTIPLIER);
  mixed = Math.imul(mixed ^ (mixed >>> 13), SECOND_MULTIPLIER);
  return (mixed ^ (mixed >>> 16)) >>> 0;
};

export default rendezvousScore;
