import type SlotsRecord from './slotsRecord';

/** The slot that this start of a VM holds by the record; -1: none. */
const ownSlot = (record: SlotsRecord | undefined, vm: string, incarnation: number): number =>
  record?.holders.findIndex((holder) => holder?.vm === vm && holder.incarnation === incarnation) ??
  -1;

export default ownSlot;
