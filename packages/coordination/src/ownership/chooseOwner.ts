import rankByRendezvous from '../membership/rankByRendezvous';
import type VmView from './vmView';

/**
 * Chooses the VM that should own a group: one with processor time to spare, one that owns the fewest, then one outside the primary's
 * data centre, so that a cut does not take both at once, then by rendezvous hashing.
 */
const chooseOwner = (
  group: string,
  vms: readonly VmView[],
  ownedCounts: ReadonlyMap<string, number>,
  primaryDataCentre: string | undefined,
): string | undefined => {
  const present = vms.filter(({ isHeard, isLeaving }) => isHeard && !isLeaving);
  const eased = present.filter(({ isStrained }) => !isStrained);
  const able = eased.length > 0 ? eased : present;
  const countOf = ({ vm }: VmView): number => ownedCounts.get(vm) ?? 0;
  const least = Math.min(...able.map(countOf));
  const idle = able.filter((view) => countOf(view) === least);
  const apart = idle.filter(({ dataCentre }) => dataCentre !== primaryDataCentre);
  const chosen = apart.length > 0 ? apart : idle;
  return rankByRendezvous(
    chosen.map(({ vm }) => vm),
    group,
  )[0];
};

export default chooseOwner;
