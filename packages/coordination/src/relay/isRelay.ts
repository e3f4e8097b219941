import RELAYS_PER_DATA_CENTRE from './relaysPerDataCentre';

/**
 * Whether the VM watches the platform itself: fewer than two VMs that it can reach precede
 * it in `rankedVms`. A VM that is not listed ranks last.
 */
const isRelay = (
  vm: string,
  rankedVms: readonly string[],
  unreachable: ReadonlySet<string>,
): boolean => {
  const rankIndex = rankedVms.indexOf(vm);
  const precedingVms = rankIndex < 0 ? rankedVms : rankedVms.slice(0, rankIndex);
  return precedingVms.filter((id) => !unreachable.has(id)).length < RELAYS_PER_DATA_CENTRE;
};

export default isRelay;
