import type createSlopeReader from './createSlopeReader';
import type sizes from './sizes';

interface CapacityRow {
  role: string;
  formula: string;
  cpuPercent: number;
  memoryMb: number;
  bytesPerS: number;
}

/** Followers of one VM in the tree that spreads the configuration, and in the runs of `changes`. */
const FOLLOWERS = 8;
const FOLLOWERS_MEASURED = 2;

type SlopeReader = ReturnType<typeof createSlopeReader>;
type FleetSize = (typeof sizes)['future'];

/** Works out what each role of a daemon costs at a size, from measured slopes. */
const capacityRows = (slopes: SlopeReader, size: FleetSize): CapacityRow[] => {
  const idle: CapacityRow = {
    role: 'idle daemon',
    formula: 'base of groups + VMs x slope of vms',
    cpuPercent:
      slopes.base('groups', 'vmCpuPercent') + size.vms * slopes.slope('vms', 'vmCpuPercent'),
    memoryMb:
      slopes.base('groups', 'vmResidentMb') + size.vms * slopes.slope('vms', 'vmResidentMb'),
    bytesPerS: slopes.base('groups', 'vmBytesPerS') + size.vms * slopes.slope('vms', 'vmBytesPerS'),
  };
  const holder: CapacityRow = {
    role: 'holds pools of groups',
    formula: 'held groups x slope of groups',
    cpuPercent: size.heldGroupsPerVm * slopes.slope('groups', 'vmCpuPercent'),
    memoryMb: size.heldGroupsPerVm * slopes.slope('groups', 'vmResidentMb'),
    bytesPerS: size.heldGroupsPerVm * slopes.slope('groups', 'vmBytesPerS'),
  };
  const configuration: CapacityRow = {
    role: 'follows the configuration',
    formula: 'changes a second x slope of changes; documents x slope of documents',
    cpuPercent: size.changesPerS * slopes.slope('changes', 'vmCpuPercent'),
    memoryMb: size.documents * slopes.slope('documents', 'vmResidentMb'),
    bytesPerS: size.changesPerS * slopes.slope('changes', 'vmBytesPerS'),
  };
  const control: CapacityRow = {
    role: 'control, sum',
    formula: 'idle + holds + follows',
    cpuPercent: idle.cpuPercent + holder.cpuPercent + configuration.cpuPercent,
    memoryMb: idle.memoryMb + holder.memoryMb + configuration.memoryMb,
    bytesPerS: idle.bytesPerS + holder.bytesPerS + configuration.bytesPerS,
  };
  const fanOut = FOLLOWERS / FOLLOWERS_MEASURED;
  const relay: CapacityRow = {
    role: 'relays the configuration (on top)',
    formula:
      'changes a second x slope of the costliest VM of changes x followers / followers measured',
    cpuPercent: size.changesPerS * slopes.slope('changes', 'vmCpuPercentMax') * fanOut,
    memoryMb: size.changesPerS * slopes.slope('changes', 'vmResidentMbMax') * fanOut,
    bytesPerS: size.changesPerS * slopes.slope('changes', 'vmBytesPerSMax') * fanOut,
  };
  const serving: CapacityRow = {
    role: 'serves callers (data, each VM holds what it is asked)',
    formula: 'statements x slope of statements; connections x slope of connections',
    cpuPercent: size.statementsPerSPerVm * slopes.slope('statements', 'vmCpuPercent'),
    memoryMb: size.connectionsPerVm * slopes.slope('connections', 'vmResidentMb'),
    bytesPerS: size.statementsPerSPerVm * slopes.slope('statements', 'vmBytesPerS'),
  };
  const forwarding: CapacityRow = {
    role: 'serves callers (data, every statement forwarded once)',
    formula: 'statements x (slope of forwarded on the forwarder + on the holder)',
    cpuPercent:
      size.statementsPerSPerVm *
      (slopes.slope('forwarded', 'vmCpuPercent') + slopes.slope('forwarded', 'holderCpuPercent')),
    memoryMb: size.connectionsPerVm * slopes.slope('connections', 'vmResidentMb'),
    bytesPerS: size.statementsPerSPerVm * slopes.slope('forwarded', 'vmBytesPerS'),
  };
  return [idle, holder, configuration, control, relay, serving, forwarding];
};

export default capacityRows;
