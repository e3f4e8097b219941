import RELAYS_PER_DATA_CENTRE from './relaysPerDataCentre';

/** How many VMs follow one VM at most while all are reachable. */
const FAN_OUT = 8;

const positionsFor = (position: number): number[] => {
  if (position < RELAYS_PER_DATA_CENTRE) return position === 0 ? [1] : [0];
  const parent = Math.floor((position - RELAYS_PER_DATA_CENTRE) / FAN_OUT);
  return [parent, parent + 1, 0, 1];
};

/**
 * The VMs of its data centre from which a VM takes configuration, best first: the order
 * forms a tree below the relays, so that a VM serves a bounded number of others.
 */
const sourcesInRank = (vm: string, rank: readonly string[]): string[] => {
  const listedAt = rank.indexOf(vm);
  const position = listedAt < 0 ? rank.length : listedAt;
  const sources = positionsFor(position)
    .filter((at) => at < position || position < RELAYS_PER_DATA_CENTRE)
    .map((at) => rank[at])
    .filter((id): id is string => id !== undefined && id !== vm);
  return [...new Set(sources)];
};

export default sourcesInRank;
