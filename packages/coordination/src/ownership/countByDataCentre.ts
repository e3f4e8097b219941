import type VmView from './vmView';

/** Groups that the VMs of each data centre own together. */
const countByDataCentre = (
  vms: readonly VmView[],
  ownedCounts: ReadonlyMap<string, number>,
): Map<string, number> => {
  const counts = new Map<string, number>();
  vms.forEach(({ vm, dataCentre }) => {
    counts.set(dataCentre, (counts.get(dataCentre) ?? 0) + (ownedCounts.get(vm) ?? 0));
  });
  return counts;
};

export default countByDataCentre;
