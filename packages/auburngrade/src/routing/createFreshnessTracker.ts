import { addWatermark, deriveWatermark, type Watermark } from '@auburngrade/coordination';
import type GroupClient from '../groups/groupClient';

const OBSERVE_INTERVAL_MS = 500;

/** Keeps, per group, the watermarks that bound the age of a replica's data. */
const createFreshnessTracker = (listGroupClients: () => GroupClient[]) => {
  const watermarksByGroup = new Map<string, readonly Watermark[]>();

  const observe = (groupClient: GroupClient): readonly Watermark[] => {
    const known = watermarksByGroup.get(groupClient.name) ?? [];
    const record = groupClient.record();
    const names = groupClient.group.members.map(({ name }) => name);
    const watermark = record && deriveWatermark(groupClient.statuses(), names, record);
    if (!watermark) return known;
    const watermarks = addWatermark(known, watermark);
    watermarksByGroup.set(groupClient.name, watermarks);
    return watermarks;
  };

  // Watermarks are also recorded without reads: lagging replicas are dated by older ones.
  const observeTimer = setInterval(() => listGroupClients().forEach(observe), OBSERVE_INTERVAL_MS);
  observeTimer.unref();

  return {
    /** Updates a group's watermarks from the latest status polls, and returns them. */
    observe,
    close: (): void => clearInterval(observeTimer),
  };
};

export default createFreshnessTracker;
