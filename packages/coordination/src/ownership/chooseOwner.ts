import rankByRendezvous from '../membership/rankByRendezvous';
import type VmView from './vmView';

/** Chooses the VM that should own a group: one that owns the fewest, then by rendezvous hashing. */
const chooseOwner = (
  group: string,
  vms: readonly VmView[],
  ownedCounts: ReadonlyMap<string, number>,
): string | undefined => {
  const able = vms.filter(({ isHeard, isLeaving }) => isHeard && !isLeaving).map(({ vm }) => vm);
  const least = Math.min(...able.map((vm) => ownedCounts.get(vm) ?? 0));
  return rankByRendezvous(
    able.filter((vm) => (ownedCounts.get(vm) ?? 0) === least),
    group,
  )[0];
};

export default chooseOwner;
