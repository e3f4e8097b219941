import type VmView from './vmView';

/** Whether a VM hears less than half of the other VMs: it is more likely cut off than they are gone. */
const isIsolated = (self: string, vms: readonly VmView[]): boolean => {
  const others = vms.filter(({ vm, isRegistered, isHeard }) => vm !== self && (isRegistered || isHeard));
  const heard = others.filter(({ isHeard }) => isHeard);
  return heard.length * 2 < others.length;
};

export default isIsolated;
