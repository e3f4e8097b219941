import { addWatermark, confirmWatermark, type Watermark } from '@auburngrade/coordination';
import type GroupHolder from '../groups/groupHolder';

const OBSERVE_INTERVAL_MS = 500;

/** Keeps per group the watermarks by which the age of a replica's data is bounded. */
const createFreshnessTracker = (held: () => GroupHolder[]) => {
  const byGroup = new Map<string, readonly Watermark[]>();

  const observe = (holder: GroupHolder): readonly Watermark[] => {
    const known = byGroup.get(holder.name) ?? [];
    const record = holder.record();
    const names = holder.group.members.map(({ name }) => name);
    const next = record && confirmWatermark(holder.statuses(), names, record);
    if (!next) return known;
    const watermarks = addWatermark(known, next);
    byGroup.set(holder.name, watermarks);
    return watermarks;
  };

  // Replicas that lag are dated by what the primary held a while ago.
  const timer = setInterval(() => held().forEach(observe), OBSERVE_INTERVAL_MS);
  timer.unref();

  return {
    /** The group's watermarks, brought up to date with the last status polls. */
    observe,
    close: (): void => clearInterval(timer),
  };
};

export default createFreshnessTracker;
