import rendezvousScore from './rendezvousScore';

interface VmPlacement {
  dataCentre: string;
  hash: number;
}

interface HolderChoice {
  groupHash: number;
  /** Data centres of the group's active members. */
  memberDataCentres: readonly string[];
  slots: number;
  chosen: readonly VmPlacement[];
}

/**
 * Whether a joining VM could change a group's chosen slot holders. May return true needlessly but
 * never misses a change, so a registration costs one score per group and a new choice for few.
 */
const canBecomeSlotHolder = (
  joining: VmPlacement,
  { groupHash, memberDataCentres, slots, chosen }: HolderChoice,
): boolean => {
  if (chosen.length < slots) return true;
  const isInMemberDataCentre = memberDataCentres.includes(joining.dataCentre);
  const hasHolderInDataCentre = chosen.some(({ dataCentre }) => dataCentre === joining.dataCentre);
  const hasHolderElsewhere = chosen.some(
    ({ dataCentre }) => !memberDataCentres.includes(dataCentre),
  );
  if (isInMemberDataCentre && (hasHolderElsewhere || !hasHolderInDataCentre)) return true;
  const score = rendezvousScore(joining.hash, groupHash);
  return chosen.some(({ hash }) => score >= rendezvousScore(hash, groupHash));
};

export default canBecomeSlotHolder;
