import type VmView from './vmView';

interface RecordedOwner {
  vm: string;
  incarnation: string;
  /** The ownership record is old enough that this VM's view of the owner is at least as recent. */
  isSettled: boolean;
}

/**
 * Whether the owner of a group is lost and has to be replaced: its VM has restarted, or more than half
 * of the other voters receive no heartbeats from it. An owner that half of them still confirm stays; one
 * without these confirmations loses its peer lease, and so knows that it may be replaced.
 */
const hasLostOwner = (owner: RecordedOwner, vms: readonly VmView[]): boolean => {
  const view = vms.find(({ vm }) => vm === owner.vm);
  const hasRestarted = view && view.incarnation !== '' && view.incarnation !== owner.incarnation;
  if (hasRestarted) return owner.isSettled;
  if (view?.hasRecentHeartbeat) return false;
  const others = vms.filter(({ vm, isVoter }) => isVoter && vm !== owner.vm);
  const notHearingOwner = others.filter(
    ({ hasRecentHeartbeat, isSettled, hears }) =>
      hasRecentHeartbeat && isSettled && !hears.has(owner.vm),
  );
  return notHearingOwner.length * 2 > others.length;
};

export default hasLostOwner;
