import rankByRendezvous from '../membership/rankByRendezvous';
import countGroupsByDataCentre from './countGroupsByDataCentre';
import type VmView from './vmView';

/** Returns the VMs that meet the preference, or all of them when none does. */
const preferMatching = (vms: readonly VmView[], isPreferred: (view: VmView) => boolean) => {
  const matching = vms.filter(isPreferred);
  return matching.length > 0 ? matching : vms;
};

/**
 * Chooses the VM that should own a group; `undefined` when no VM is available. Prefers, in this order:
 * reach to the store, a data centre that is not evacuated, spare CPU, fewest owned groups, not the primary's data centre, the data centre
 * with the fewest owned groups, rendezvous hashing. A partition of one data centre then takes few
 * owners, and none together with its primary.
 */
const chooseOwner = (
  group: string,
  vms: readonly VmView[],
  ownedCounts: ReadonlyMap<string, number>,
  primaryDataCentre: string | undefined,
): string | undefined => {
  const available = vms.filter(
    ({ hasRecentHeartbeat, isLeaving }) => hasRecentHeartbeat && !isLeaving,
  );
  const storeReachable = preferMatching(available, ({ isStoreReachable }) => isStoreReachable);
  const inService = preferMatching(
    storeReachable,
    ({ isInEvacuatedDataCentre }) => !isInEvacuatedDataCentre,
  );
  const unstrained = preferMatching(inService, ({ isStrained }) => !isStrained);
  const countOf = ({ vm }: VmView): number => ownedCounts.get(vm) ?? 0;
  const fewestOwned = Math.min(...unstrained.map(countOf));
  const leastLoaded = unstrained.filter((view) => countOf(view) === fewestOwned);
  const outsidePrimaryDataCentre = preferMatching(
    leastLoaded,
    ({ dataCentre }) => dataCentre !== primaryDataCentre,
  );
  const countsByDataCentre = countGroupsByDataCentre(vms, ownedCounts);
  const dataCentreCountOf = ({ dataCentre }: VmView): number =>
    countsByDataCentre.get(dataCentre) ?? 0;
  const fewestInDataCentre = Math.min(...outsidePrimaryDataCentre.map(dataCentreCountOf));
  const candidates = outsidePrimaryDataCentre.filter(
    (view) => dataCentreCountOf(view) === fewestInDataCentre,
  );
  return rankByRendezvous(
    candidates.map(({ vm }) => vm),
    group,
  )[0];
};

export default chooseOwner;
