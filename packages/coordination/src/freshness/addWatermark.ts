import type Watermark from './watermark';

const MAX_WATERMARKS = 128;
/** The latest watermarks are kept whole; older ones are thinned out. */
const RECENT_WATERMARKS = 32;

const thin = (watermarks: readonly Watermark[]): Watermark[] => {
  const recent = watermarks.slice(-RECENT_WATERMARKS);
  const older = watermarks.slice(0, -RECENT_WATERMARKS);
  return [...older.filter((_, index) => index % 2 === 0), ...recent];
};

/** Appends a watermark to those known, oldest first; one that is not newer changes nothing. */
const addWatermark = (watermarks: readonly Watermark[], next: Watermark): readonly Watermark[] => {
  const last = watermarks.at(-1);
  if (last && (next.askedAtMs <= last.askedAtMs || next.term < last.term)) return watermarks;
  const isRepeat = last && last.term === next.term && last.position === next.position;
  const kept = isRepeat ? watermarks.slice(0, -1) : watermarks;
  const all = [...kept, next];
  return all.length > MAX_WATERMARKS ? thin(all) : all;
};

export default addWatermark;
