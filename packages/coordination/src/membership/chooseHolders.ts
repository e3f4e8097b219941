import hashText from './hashText';
import rendezvousScore from './rendezvousScore';

interface Ranked {
  id: string;
  dataCentre: string;
  score: number;
}

/** VMs by data centre, each with the hash of its id. */
type VmHashes = ReadonlyMap<string, readonly { id: string; hash: number }[]>;

const isBefore = (a: Ranked, b: Ranked): boolean =>
  a.score > b.score || (a.score === b.score && a.id < b.id);

/** Inserts a ranked VM in its place and keeps the best `count`. */
const insert = (best: Ranked[], next: Ranked, count: number): void => {
  let at = best.length;
  while (at > 0 && isBefore(next, best[at - 1] as Ranked)) at -= 1;
  best.splice(at, 0, next);
  if (best.length > count) best.pop();
};

const bestIn = (vms: VmHashes, dataCentre: string, groupHash: number, count: number): Ranked[] => {
  const best: Ranked[] = [];
  let leastScore = -1;
  for (const { id, hash } of vms.get(dataCentre) ?? []) {
    const score = rendezvousScore(hash, groupHash);
    // Most candidates end here, so nothing is allocated before.
    if (score >= leastScore) {
      insert(best, { id, dataCentre, score }, count);
      if (best.length === count) leastScore = best[count - 1]?.score ?? -1;
    }
  }
  return best;
};

const byRank = (a: Ranked, b: Ranked): number => (isBefore(a, b) ? -1 : 1);

/**
 * Chooses the VMs that hold connections to a group by rendezvous hashing: first one in
 * each data centre of its members, then further ones there, then ones elsewhere.
 */
const chooseHolders = (
  vms: VmHashes,
  group: string,
  memberDataCentres: readonly string[],
  slots: number,
): string[] => {
  const groupHash = hashText(group);
  const near = [...new Set(memberDataCentres)].map((name) => bestIn(vms, name, groupHash, slots));
  const firsts = near.flatMap(([first]) => (first ? [first] : [])).sort(byRank);
  const others = near.flatMap(([, ...rest]) => rest).sort(byRank);
  const chosen = [...firsts, ...others].slice(0, slots);
  if (chosen.length < slots) {
    const elsewhere = [...vms.keys()].filter((name) => !memberDataCentres.includes(name));
    const far = elsewhere.flatMap((name) => bestIn(vms, name, groupHash, slots)).sort(byRank);
    chosen.push(...far.slice(0, slots - chosen.length));
  }
  return chosen.map(({ id }) => id);
};

export default chooseHolders;
