import RELAYS_PER_DATA_CENTRE from './relaysPerDataCentre';

/** Maximum number of VMs that follow one VM while all are reachable. */
const MAX_FOLLOWERS_PER_VM = 8;

const listSourceIndexes = (rankIndex: number): number[] => {
  if (rankIndex < RELAYS_PER_DATA_CENTRE) return rankIndex === 0 ? [1] : [0];
  const parentIndex = Math.floor((rankIndex - RELAYS_PER_DATA_CENTRE) / MAX_FOLLOWERS_PER_VM);
  return [parentIndex, parentIndex + 1, 0, 1];
};

/**
 * Returns the VMs of its data centre from which a VM receives configuration, preferred first.
 * The ranked VMs form a tree below the relays, so that each serves a bounded number of others.
 */
const rankLocalSources = (vm: string, rankedVms: readonly string[]): string[] => {
  const listedIndex = rankedVms.indexOf(vm);
  const rankIndex = listedIndex < 0 ? rankedVms.length : listedIndex;
  const sources = listSourceIndexes(rankIndex)
    .filter((sourceIndex) => sourceIndex < rankIndex || rankIndex < RELAYS_PER_DATA_CENTRE)
    .map((sourceIndex) => rankedVms[sourceIndex])
    .filter((id): id is string => id !== undefined && id !== vm);
  return [...new Set(sources)];
};

export default rankLocalSources;
