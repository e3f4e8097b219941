import rendezvousScore from './rendezvousScore';

interface PlacedVm {
  dataCentre: string;
  hash: number;
}

interface Choice {
  groupHash: number;
  /** Data centres of the group's active members. */
  near: readonly string[];
  slots: number;
  chosen: readonly PlacedVm[];
}

/**
 * Whether a VM that joins could change a group's choice of holders. It may say so without
 * need, but never misses a change, so that one change of the list costs a score for each
 * group and a new choice for few.
 */
const mayBeChosen = (joining: PlacedVm, { groupHash, near, slots, chosen }: Choice): boolean => {
  if (chosen.length < slots) return true;
  const isNear = near.includes(joining.dataCentre);
  const isCovered = chosen.some(({ dataCentre }) => dataCentre === joining.dataCentre);
  const isFar = chosen.some(({ dataCentre }) => !near.includes(dataCentre));
  if (isNear && (isFar || !isCovered)) return true;
  const score = rendezvousScore(joining.hash, groupHash);
  return chosen.some(({ hash }) => score >= rendezvousScore(hash, groupHash));
};

export default mayBeChosen;
