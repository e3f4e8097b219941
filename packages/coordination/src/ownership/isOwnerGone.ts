import type VmView from './vmView';

interface GroupOwner {
  vm: string;
  incarnation: string;
  /** The record that names it is not new: what is known of the VM is at least as recent. */
  isSettled: boolean;
}

/**
 * Whether the owner of a group has to be replaced: its VM runs another process now, or more than half
 * of the other VMs do not hear it. An owner that still reaches half of them therefore stays, and one
 * that does not knows that it may be replaced.
 */
const isOwnerGone = (owner: GroupOwner, vms: readonly VmView[]): boolean => {
  const view = vms.find(({ vm }) => vm === owner.vm);
  if (view && view.incarnation !== owner.incarnation) return owner.isSettled;
  if (view?.isHeard) return false;
  const others = vms.filter(({ vm }) => vm !== owner.vm);
  const without = others.filter(
    ({ isHeard, isSettled, hears }) => isHeard && isSettled && !hears.has(owner.vm),
  );
  return without.length * 2 > others.length;
};

export default isOwnerGone;
