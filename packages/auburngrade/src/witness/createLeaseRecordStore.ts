import { leaseRecordSchema, type LeaseRecord } from '@auburngrade/coordination';
import type { ConfigurationStore } from '@auburngrade/platform';

interface StoredLease {
  record: LeaseRecord;
  /** Revision of the record in the configuration store. */
  revision: number;
}

const KEY_PREFIX = '/auburngrade/lease/';

/** Creates access to the stored lease records, which name each VM's witnesses. */
const createLeaseRecordStore = (platform: ConfigurationStore, timeoutMs: number) => ({
  /** Reads the current record. @throws RefusalError `platformUnavailable`. */
  read: async (vm: string): Promise<StoredLease | undefined> => {
    const key = KEY_PREFIX + vm;
    const { entries } = await platform.range(key, timeoutMs);
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
});

export default createLeaseRecordStore;
