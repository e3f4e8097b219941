import type Watermark from './watermark';

const MAX_WATERMARKS = 128;
/** When the list is full, every second watermark older than this many is dropped. */
const MAX_RECENT_WATERMARKS = 32;

const thinOutOlder = (watermarks: readonly Watermark[]): Watermark[] => {
  const recent = watermarks.slice(-MAX_RECENT_WATERMARKS);
  const older = watermarks.slice(0, -MAX_RECENT_WATERMARKS);
  return [...older.filter((_, index) => index % 2 === 0), ...recent];
};

/**
 * Returns the watermarks, oldest first, with `next` appended; it replaces a last one of the same
 * position. They are unchanged if `next` is not newer than the last.
 */
const addWatermark = (watermarks: readonly Watermark[], next: Watermark): readonly Watermark[] => {
  const last = watermarks.at(-1);
  if (last && (next.askedAtMs <= last.askedAtMs || next.term < last.term)) return watermarks;
  const isRepeat = last && last.term === next.term && last.position === next.position;
  const kept = isRepeat ? watermarks.slice(0, -1) : watermarks;
  const all = [...kept, next];
  return all.length > MAX_WATERMARKS ? thinOutOlder(all) : all;
};

export default addWatermark;
