import type SlotsRecord from './slotsRecord';

/** Returns a copy of the record with one slot's holder replaced. */
const withSlotHolder = (
  record: SlotsRecord | undefined,
  slot: number,
  holder: SlotsRecord['holders'][number],
): SlotsRecord => {
  const length = Math.max(record?.holders.length ?? 0, slot + 1);
  const holders = Array.from({ length }, (_, index) => record?.holders[index] ?? null);
  holders[slot] = holder;
  return { holders };
};

export default withSlotHolder;
