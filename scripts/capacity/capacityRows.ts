import type createSlopeReader from './createSlopeReader';
import type sizes from './sizes';

/** What a role costs a daemon. */
interface Cost {
  cpuPercent: number;
  memoryMb: number;
  bytesPerS: number;
}

interface CapacityRow extends Cost {
  role: string;
  formula: string;
}

type SlopeReader = ReturnType<typeof createSlopeReader>;
type FleetSize = (typeof sizes)['future'];
type Kind = 'base' | 'slope';

/** Reads the three costs of a process from a dimension; `process` is `vm` or `relay`. */
const costOf = (
  slopes: SlopeReader,
  kind: Kind,
  dimension: string,
  process: 'vm' | 'relay' = 'vm',
): Cost => ({
  cpuPercent: slopes[kind](dimension, `${process}CpuPercent`),
  memoryMb: slopes[kind](dimension, `${process}ResidentMb`),
  bytesPerS: slopes[kind](dimension, `${process}BytesPerS`),
});

const times = (count: number, cost: Cost): Cost => ({
  cpuPercent: count * cost.cpuPercent,
  memoryMb: count * cost.memoryMb,
  bytesPerS: count * cost.bytesPerS,
});

const sum = (...costs: Cost[]): Cost => ({
  cpuPercent: costs.reduce((total, { cpuPercent }) => total + cpuPercent, 0),
  memoryMb: costs.reduce((total, { memoryMb }) => total + memoryMb, 0),
  bytesPerS: costs.reduce((total, { bytesPerS }) => total + bytesPerS, 0),
});

/** Works out what each role of a daemon costs at a size, from measured slopes. */
const capacityRows = (slopes: SlopeReader, size: FleetSize): CapacityRow[] => {
  const slope = (dimension: string): Cost => costOf(slopes, 'slope', dimension);
  const idle = sum(costOf(slopes, 'base', 'groups'), times(size.vms, slope('vms')));
  const holder = times(size.heldGroupsPerVm, slope('groups'));
  const follower: Cost = {
    ...times(size.changesPerS, slope('changes')),
    memoryMb: size.documents * slopes.slope('heap', 'heapMb'),
  };
  const relay = sum(
    costOf(slopes, 'base', 'changes', 'relay'),
    times(size.changesPerS, costOf(slopes, 'slope', 'changes', 'relay')),
  );
  const connections = size.connectionsPerVm * slopes.slope('connections', 'vmResidentMb');
  const serving = times(size.statementsPerSPerVm, slope('statements'));
  const forwarding = sum(times(size.statementsPerSPerVm, slope('forwarded')), {
    cpuPercent: size.statementsPerSPerVm * slopes.slope('forwarded', 'holderCpuPercent'),
    memoryMb: 0,
    bytesPerS: 0,
  });
  return [
    { role: 'idle daemon', formula: 'base of groups + VMs x slope of vms', ...idle },
    { role: 'holds pools of groups', formula: 'held groups x slope of groups', ...holder },
    {
      role: 'follows the configuration',
      formula: 'changes a second x slope of changes; documents x slope of heap',
      ...follower,
    },
    {
      role: 'control, sum',
      formula: 'idle + holds + follows',
      ...sum(idle, holder, follower),
    },
    {
      role: 'relay with 8 followers that holds no group',
      formula: 'base of changes on the relay + changes a second x slope; documents x slope of heap',
      ...sum(relay, { cpuPercent: 0, memoryMb: follower.memoryMb, bytesPerS: 0 }),
    },
    {
      role: 'serves callers (data, each VM holds what it is asked)',
      formula: 'statements x slope of statements; connections x slope of connections',
      ...serving,
      memoryMb: connections,
    },
    {
      role: 'serves callers (data, every statement forwarded once)',
      formula: 'statements x (slope of forwarded on the forwarder + on the holder)',
      ...forwarding,
      memoryMb: connections,
    },
  ];
};

export default capacityRows;
