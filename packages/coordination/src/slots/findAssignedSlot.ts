import type SlotsRecord from './slotsRecord';

/** Index of the slot that the record assigns to this incarnation of a VM, or -1. */
const findAssignedSlot = (
  record: SlotsRecord | undefined,
  vm: string,
  incarnation: number,
): number =>
  record?.holders.findIndex((holder) => holder?.vm === vm && holder.incarnation === incarnation) ??
  -1;

export default findAssignedSlot;
