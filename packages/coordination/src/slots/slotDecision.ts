/**
 * What a VM does about its part in a group's slots. `ask`: these VMs hold slots that other
 * VMs should have by the list, and give one back when they see it likewise.
 */
type SlotDecision =
  | { kind: 'none' }
  | { kind: 'take'; slot: number; isTakenOver: boolean }
  | { kind: 'giveBack' }
  | { kind: 'ask'; vms: string[] };

export default SlotDecision;
