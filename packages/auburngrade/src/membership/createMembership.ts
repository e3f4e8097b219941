import {
  chooseHolders,
  createPeerHealth,
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
 * Holders follow from the list alone, so that every VM names the same ones; VMs that
 * failed this one directly come last among them.
 */
const createMembership = (
  configuration: ConfigurationState,
  nowMs: () => number = () => performance.now(),
) => {
  const health = createPeerHealth();
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
    const isAvoided = ({ id }: ListedVm): boolean => health.isAvoided(id, nowMs());
    if (!known.some(isAvoided)) return known;
    return [...known.filter((vm) => !isAvoided(vm)), ...known.filter(isAvoided)];
  };

  return {
    live,
    holders,
    /** Puts a VM that could not be reached last for a while, longer with each failure in a row. */
    reportFailure: (vm: string): void => health.fail(vm, 'unreachable', nowMs()),
    reportSuccess: (vm: string): void => health.succeed(vm),
    isAvoided: (vm: string): boolean => health.isAvoided(vm, nowMs()),
  };
};

export default createMembership;
