import {
  chooseHolders,
  hashText,
  type ConfigurationState,
  type Vm,
} from '@auburngrade/coordination';

interface ListedVm extends Vm {
  id: string;
}

const VM_PREFIX = '/platform/vms/';
const GROUP_PREFIX = '/auburngrade/group/';

/**
 * Which VMs are live by the platform's list, and which of them hold a group's connections.
 * Holders follow from the list alone, so that every VM names the same ones.
 */
const createMembership = (configuration: ConfigurationState) => {
  const holdersByGroup = new Map<string, ListedVm[]>();
  let listed: ListedVm[] | undefined;
  let hashes: Map<string, { id: string; hash: number }[]> | undefined;

  configuration.onChange((changed) => {
    if (changed.some(({ key }) => key.startsWith(VM_PREFIX))) {
      listed = undefined;
      hashes = undefined;
      holdersByGroup.clear();
    }
    changed
      .filter(({ key }) => key.startsWith(GROUP_PREFIX))
      .forEach(({ key }) => holdersByGroup.delete(key.slice(GROUP_PREFIX.length)));
  });

  const live = (): ListedVm[] => {
    listed ??= [...configuration.list('vm')]
      .filter(([, vm]) => vm.state === 'live')
      .map(([id, vm]) => ({ id, ...vm }));
    return listed;
  };

  const hashesByDataCentre = () => {
    hashes ??= live().reduce((found, { id, dataCentre }) => {
      const vms = found.get(dataCentre) ?? [];
      vms.push({ id, hash: hashText(id) });
      return found.set(dataCentre, vms);
    }, new Map<string, { id: string; hash: number }[]>());
    return hashes;
  };

  const choose = (group: string): ListedVm[] => {
    const document = configuration.get('group', group);
    if (!document) return [];
    const near = document.members
      .filter(({ state }) => state === 'active')
      .map(({ dataCentre }) => dataCentre);
    return chooseHolders(hashesByDataCentre(), group, near, document.slots).flatMap((id) => {
      const vm = configuration.get('vm', id);
      return vm ? [{ id, ...vm }] : [];
    });
  };

  const holders = (group: string): ListedVm[] => {
    const known = holdersByGroup.get(group) ?? choose(group);
    holdersByGroup.set(group, known);
    return known;
  };

  return { live, holders };
};

export default createMembership;
