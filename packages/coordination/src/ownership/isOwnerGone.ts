import type VmView from './vmView';

interface GroupOwner {
  vm: string;
  incarnation: string;
}

/**
 * Whether the owner of a group has to be replaced: its process is another one now, or neither this
 * VM nor half of the VMs that it hears hear the owner.
 */
const isOwnerGone = (owner: GroupOwner, self: string, vms: readonly VmView[]): boolean => {
  const view = vms.find(({ vm }) => vm === owner.vm);
  if (!view) return true;
  if (view.incarnation !== owner.incarnation) return true;
  if (view.isHeard) return false;
  const others = vms.filter(({ vm, isHeard }) => isHeard && vm !== self);
  const hearing = others.filter(({ hears }) => hears.has(owner.vm));
  return hearing.length * 2 < Math.max(1, others.length);
};

export default isOwnerGone;
