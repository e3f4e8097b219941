import hashText from './hashText';
import rendezvousScore from './rendezvousScore';

/** Orders candidates for a subject by rendezvous hashing; every VM gets the same order. */
const rankByRendezvous = (candidates: Iterable<string>, subject: string): string[] => {
  const subjectHash = hashText(subject);
  return [...candidates]
    .map((id) => ({ id, score: rendezvousScore(hashText(id), subjectHash) }))
    .sort((a, b) => b.score - a.score || (a.id < b.id ? -1 : 1))
    .map(({ id }) => id);
};

export default rankByRendezvous;
