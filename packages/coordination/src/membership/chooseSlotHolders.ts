import hashText from './hashText';
import rendezvousScore from './rendezvousScore';

interface RankedVm {
  id: string;
  dataCentre: string;
  score: number;
}

/** VMs by data centre, each with the hash of its id. */
type VmHashes = ReadonlyMap<string, readonly { id: string; hash: number }[]>;

const ranksBefore = (a: RankedVm, b: RankedVm): boolean =>
  a.score > b.score || (a.score === b.score && a.id < b.id);

/** Inserts a VM by rank and keeps the first `count`. */
const insertRanked = (best: RankedVm[], next: RankedVm, count: number): void => {
  let position = best.length;
  while (position > 0 && ranksBefore(next, best[position - 1] as RankedVm)) position -= 1;
  best.splice(position, 0, next);
  if (best.length > count) best.pop();
};

const highestRankedIn = (
  vms: VmHashes,
  dataCentre: string,
  groupHash: number,
  count: number,
): RankedVm[] => {
  const best: RankedVm[] = [];
  let minScore = -1;
  for (const { id, hash } of vms.get(dataCentre) ?? []) {
    const score = rendezvousScore(hash, groupHash);
    // Most candidates fail this check, so nothing is allocated before it.
    if (score >= minScore) {
      insertRanked(best, { id, dataCentre, score }, count);
      if (best.length === count) minScore = best[count - 1]?.score ?? -1;
    }
  }
  return best;
};

const compareRank = (a: RankedVm, b: RankedVm): number => (ranksBefore(a, b) ? -1 : 1);

/**
 * Chooses the VMs that should hold a group's connection slots by rendezvous hashing: first one in
 * each data centre of the group's members, then more in these data centres, then in other ones.
 */
const chooseSlotHolders = (
  vms: VmHashes,
  group: string,
  memberDataCentres: readonly string[],
  slotCount: number,
): string[] => {
  const groupHash = hashText(group);
  const rankedByMemberDataCentre = [...new Set(memberDataCentres)].map((name) =>
    highestRankedIn(vms, name, groupHash, slotCount),
  );
  const firstOfEach = rankedByMemberDataCentre
    .flatMap(([first]) => (first ? [first] : []))
    .sort(compareRank);
  const remaining = rankedByMemberDataCentre.flatMap(([, ...rest]) => rest).sort(compareRank);
  const chosen = [...firstOfEach, ...remaining].slice(0, slotCount);
  if (chosen.length < slotCount) {
    const otherDataCentres = [...vms.keys()].filter((name) => !memberDataCentres.includes(name));
    const rankedElsewhere = otherDataCentres
      .flatMap((name) => highestRankedIn(vms, name, groupHash, slotCount))
      .sort(compareRank);
    chosen.push(...rankedElsewhere.slice(0, slotCount - chosen.length));
  }
  return chosen.map(({ id }) => id);
};

export default chooseSlotHolders;
