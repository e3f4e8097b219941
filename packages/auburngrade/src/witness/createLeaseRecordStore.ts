import { eraOfPosition, leaseRecordSchema, type LeaseRecord } from '@auburngrade/coordination';
import type { ConfigurationStore } from '@auburngrade/platform';

interface StoredLease {
  record: LeaseRecord;
  /** Revision of the record in the configuration store. */
  revision: number;
}

/** VMs write their records again within this time after the store came back from a copy. */
const RECORD_RENEWAL_MS = 4_000;
const KEY_PREFIX = '/auburngrade/lease/';

/** Creates access to the stored lease records, which name each VM's witnesses. */
const createLeaseRecordStore = (
  platform: ConfigurationStore,
  timeoutMs: number,
  nowMs: () => number,
) => {
  let era = 0;
  let eraSinceMs = Number.NEGATIVE_INFINITY;

  const observeEra = (position: number): void => {
    const observed = eraOfPosition(position);
    if (observed <= era) return;
    // The first era that this process sees did not begin in its lifetime, as far as it can tell.
    if (era > 0) eraSinceMs = nowMs();
    era = observed;
  };

  return {
    /** Reads the current record. @throws RefusalError `platformUnavailable`. */
    read: async (vm: string): Promise<StoredLease | undefined> => {
      const key = KEY_PREFIX + vm;
      const { revision, entries } = await platform.range(key, timeoutMs);
      observeEra(revision);
      const entry = entries.find((candidate) => candidate.key === key);
      if (entry?.valueJson === undefined) return undefined;
      const record = leaseRecordSchema.parse(JSON.parse(entry.valueJson));
      return { record, revision: entry.modRevision };
    },
    /** Writes the record if its revision is `expectedRevision` (0: absent); true when written. */
    write: async (vm: string, record: LeaseRecord, expectedRevision: number): Promise<boolean> => {
      const put = { key: KEY_PREFIX + vm, valueJson: JSON.stringify(record), expectedRevision };
      const outcome = await platform.compareAndSwap([put], timeoutMs);
      return outcome.kind === 'applied';
    },
    /** Whether the store may lack records of live VMs, since it came back from a copy lately. */
    mayBeIncomplete: (): boolean => nowMs() - eraSinceMs < RECORD_RENEWAL_MS,
  };
};

export default createLeaseRecordStore;
