import findAssignedSlot from './findAssignedSlot';
import type SlotDecision from './slotDecision';
import type SlotDecisionInput from './slotDecisionInput';

/**
 * Decides a VM's next step for a group's slots. It repeats the release of a slot until the record
 * shows it, as a write may be lost. A chosen VM takes a free slot, or else the slot of its own
 * earlier process or of a VM that is no longer registered. VMs may know different
 * registrations, so the record decides: each step is one conditional write, and a VM that takes
 * over a slot waits until the previous holder can no longer use it.
 */
const decideSlot = (input: SlotDecisionInput): SlotDecision => {
  const { vm, incarnation, slots, record, chosenVms, isRegisteredVm, isReleasing } = input;
  const ownIndex = findAssignedSlot(record, vm, incarnation);
  if (ownIndex >= slots || (ownIndex >= 0 && isReleasing)) return { kind: 'giveBack' };
  if (ownIndex >= 0 || !chosenVms.includes(vm)) return { kind: 'none' };
  const holders = Array.from({ length: slots }, (_, slot) => record?.holders[slot] ?? null);
  const freeIndex = holders.indexOf(null);
  if (freeIndex >= 0) return { kind: 'take', slot: freeIndex, isTakenOver: false };
  const abandonedIndex = holders.findIndex(
    (holder) => holder && (holder.vm === vm || !isRegisteredVm(holder.vm)),
  );
  if (abandonedIndex >= 0) return { kind: 'take', slot: abandonedIndex, isTakenOver: true };
  const holderVms = holders.flatMap((holder) => (holder ? [holder.vm] : []));
  return { kind: 'ask', vms: holderVms.filter((holder) => !chosenVms.includes(holder)) };
};

export default decideSlot;
