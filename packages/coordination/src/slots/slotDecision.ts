/**
 * The next step of a VM for a group's slots. `ask`: requests the slots of VMs that are not chosen;
 * these release one if they agree.
 */
type SlotDecision =
  | { kind: 'none' }
  | { kind: 'take'; slot: number; isTakenOver: boolean }
  | { kind: 'giveBack' }
  | { kind: 'ask'; vms: string[] };

export default SlotDecision;
