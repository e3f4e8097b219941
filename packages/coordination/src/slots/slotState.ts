import type SlotsRecord from './slotsRecord';

/** What a VM knows when it decides about a group's slots. */
interface SlotState {
  vm: string;
  incarnation: number;
  /** Number of slots by the group's document. */
  slots: number;
  record: SlotsRecord | undefined;
  /** Whether this VM is giving its slot back. */
  isClosing: boolean;
  /** VMs that should hold the slots by the list. */
  chosen: readonly string[];
  isListed(vm: string): boolean;
}

export default SlotState;
