import ownSlot from './ownSlot';
import type SlotDecision from './slotDecision';
import type SlotState from './slotState';

/**
 * Decides what a VM does about a group's slots. A slot that is being given back is given back
 * until the record shows it, as a write may be lost. A free slot is taken by a VM that should
 * have one by the list, then the slot of a VM that is not listed any more or was started
 * again. Views of the list differ between VMs, and the record decides: each step is one
 * conditional write, and a VM that takes over waits until the other can't use the slot.
 */
const decideSlot = (state: SlotState): SlotDecision => {
  const { vm, incarnation, slots, record, chosen, isListed, isClosing } = state;
  const own = ownSlot(record, vm, incarnation);
  if (own >= slots || (own >= 0 && isClosing)) return { kind: 'giveBack' };
  if (own >= 0 || !chosen.includes(vm)) return { kind: 'none' };
  const holders = Array.from({ length: slots }, (_, slot) => record?.holders[slot] ?? null);
  const free = holders.indexOf(null);
  if (free >= 0) return { kind: 'take', slot: free, isTakenOver: false };
  const lost = holders.findIndex((holder) => holder && (holder.vm === vm || !isListed(holder.vm)));
  if (lost >= 0) return { kind: 'take', slot: lost, isTakenOver: true };
  const misplaced = holders.flatMap((holder) => (holder ? [holder.vm] : []));
  return { kind: 'ask', vms: misplaced.filter((holder) => !chosen.includes(holder)) };
};

export default decideSlot;
