import { createHash } from 'node:crypto';
import type { ConfigurationState, Vm } from '@auburngrade/coordination';

interface ListedVm extends Vm {
  id: string;
}

const scoreOf = (vm: string, group: string): string =>
  createHash('sha256').update(`${vm}/${group}`).digest('hex');

/** Which VMs are live by the platform's list, and which of them hold a group's connections. */
const createMembership = (configuration: ConfigurationState) => {
  const live = (): ListedVm[] =>
    [...configuration.list('vm')]
      .filter(([, vm]) => vm.state === 'live')
      .map(([id, vm]) => ({ id, ...vm }));

  const holders = (group: string): ListedVm[] => {
    const slots = configuration.get('group', group)?.slots ?? 0;
    return live()
      .map((vm) => ({ vm, score: scoreOf(vm.id, group) }))
      .sort((a, b) => (a.score < b.score ? 1 : -1))
      .slice(0, slots)
      .map(({ vm }) => vm);
  };

  return { live, holders };
};

export default createMembership;
