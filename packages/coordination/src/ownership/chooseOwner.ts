import rankByRendezvous from '../membership/rankByRendezvous';
import countByDataCentre from './countByDataCentre';
import type VmView from './vmView';

/** The VMs that meet a wish, or all when none does. */
const preferred = (vms: readonly VmView[], isWished: (view: VmView) => boolean) => {
  const wished = vms.filter(isWished);
  return wished.length > 0 ? wished : vms;
};

/**
 * Chooses the VM that should own a group: one that reaches the store, one with processor time to spare,
 * one that owns the fewest, then one outside the primary's data centre and in the one with the fewest
 * groups, so that a cut takes few owners and none with its primary, then by rendezvous hashing.
 */
const chooseOwner = (
  group: string,
  vms: readonly VmView[],
  ownedCounts: ReadonlyMap<string, number>,
  primaryDataCentre: string | undefined,
): string | undefined => {
  const present = vms.filter(({ isHeard, isLeaving }) => isHeard && !isLeaving);
  const recording = preferred(present, ({ isStoreReachable }) => isStoreReachable);
  const able = preferred(recording, ({ isStrained }) => !isStrained);
  const countOf = ({ vm }: VmView): number => ownedCounts.get(vm) ?? 0;
  const least = Math.min(...able.map(countOf));
  const idle = able.filter((view) => countOf(view) === least);
  const apart = preferred(idle, ({ dataCentre }) => dataCentre !== primaryDataCentre);
  const inCentre = countByDataCentre(vms, ownedCounts);
  const centreCountOf = ({ dataCentre }: VmView): number => inCentre.get(dataCentre) ?? 0;
  const leastInCentre = Math.min(...apart.map(centreCountOf));
  const chosen = apart.filter((view) => centreCountOf(view) === leastInCentre);
  return rankByRendezvous(
    chosen.map(({ vm }) => vm),
    group,
  )[0];
};

export default chooseOwner;
