import type SlotsRecord from './slotsRecord';

/** The record with another holder of one slot. */
const withHolder = (
  record: SlotsRecord | undefined,
  slot: number,
  holder: SlotsRecord['holders'][number],
): SlotsRecord => {
  const length = Math.max(record?.holders.length ?? 0, slot + 1);
  const holders = Array.from({ length }, (_, index) => record?.holders[index] ?? null);
  holders[slot] = holder;
  return { holders };
};

export default withHolder;
