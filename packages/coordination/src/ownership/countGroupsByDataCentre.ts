import type VmView from './vmView';

/** Counts the groups owned in each data centre, given the owned groups of each VM. */
const countGroupsByDataCentre = (
  vms: readonly VmView[],
  ownedCounts: ReadonlyMap<string, number>,
): Map<string, number> => {
  const counts = new Map<string, number>();
  vms.forEach(({ vm, dataCentre }) => {
    counts.set(dataCentre, (counts.get(dataCentre) ?? 0) + (ownedCounts.get(vm) ?? 0));
  });
  return counts;
};

export default countGroupsByDataCentre;
