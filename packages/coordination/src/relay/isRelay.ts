import RELAYS_PER_DATA_CENTRE from './relaysPerDataCentre';

/**
 * Whether the VM watches the platform itself: fewer than two VMs rank before it, those
 * that it found unreachable left out. A VM that is not listed ranks last.
 */
const isRelay = (
  vm: string,
  rank: readonly string[],
  unreachable: ReadonlySet<string>,
): boolean => {
  const position = rank.indexOf(vm);
  const before = position < 0 ? rank : rank.slice(0, position);
  return before.filter((id) => !unreachable.has(id)).length < RELAYS_PER_DATA_CENTRE;
};

export default isRelay;
