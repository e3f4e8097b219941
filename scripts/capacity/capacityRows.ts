import type createSlopeReader from './createSlopeReader';
import type sizes from './sizes';

interface CapacityRow {
  role: string;
  formula: string;
  cpuPercent: number;
  memoryMb: number;
  bytesPerS: number;
}

/** Relays of the runs of `vms`: two in each of two data centres. */
const MEASURED_RELAYS = 4;
/** Two relays in each of 12 data centres. */
const FUTURE_RELAYS = 24;
/** The runs of `changes` have 8 VMs behind 4 relays. */
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
  const relay: CapacityRow = {
    role: 'relays the configuration (some VMs, on top)',
    formula: 'followers a relay x slope of the costliest VM of vms x relays measured',
    cpuPercent:
      (size.vms / FUTURE_RELAYS) * slopes.slope('vms', 'vmCpuPercentMax') * MEASURED_RELAYS,
    memoryMb: (size.vms / FUTURE_RELAYS) * slopes.slope('vms', 'vmResidentMbMax') * MEASURED_RELAYS,
    bytesPerS:
      size.changesPerS *
      slopes.slope('changes', 'vmBytesPerSMax') *
      (size.vms / FUTURE_RELAYS / FOLLOWERS_MEASURED),
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
