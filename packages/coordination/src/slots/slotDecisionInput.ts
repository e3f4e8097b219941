import type SlotsRecord from './slotsRecord';

/** The input of a decision on a group's slots. */
interface SlotDecisionInput {
  vm: string;
  incarnation: number;
  /** Number of slots in the group's document. */
  slots: number;
  record: SlotsRecord | undefined;
  /** Whether this VM is releasing its slot. */
  isReleasing: boolean;
  /** VMs that should hold the slots, by rendezvous hashing over the registered VMs. */
  chosenVms: readonly string[];
  isRegisteredVm(vm: string): boolean;
}

export default SlotDecisionInput;
