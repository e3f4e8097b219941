import hashText from './hashText';
import rendezvousScore from './rendezvousScore';

/** Orders candidates for a key by rendezvous hashing; the order is the same on every VM. */
const rankByRendezvous = (candidates: Iterable<string>, key: string): string[] => {
  const keyHash = hashText(key);
  return [...candidates]
    .map((id) => ({ id, score: rendezvousScore(hashText(id), keyHash) }))
    .sort((a, b) => b.score - a.score || (a.id < b.id ? -1 : 1))
    .map(({ id }) => id);
};

export default rankByRendezvous;
