import { leaseRecordSchema, type LeaseRecord } from '@auburngrade/coordination';
import type { Platform } from '@auburngrade/platform';

interface StoredLease {
  record: LeaseRecord;
  /** The platform's revision of the record. */
  revision: number;
}

const KEY_PREFIX = '/auburngrade/lease/';

/** Reads and writes the platform's records of the witnesses of VMs' leases. */
const createLeaseRecords = (platform: Platform, timeoutMs: number) => ({
  /** The record as the platform has it now. @throws RefusalError `platformUnavailable`. */
  read: async (vm: string): Promise<StoredLease | undefined> => {
    const key = KEY_PREFIX + vm;
    const { entries } = await platform.range(key, timeoutMs);
    const entry = entries.find((candidate) => candidate.key === key);
    if (entry?.valueJson === undefined) return undefined;
    const record = leaseRecordSchema.parse(JSON.parse(entry.valueJson));
    return { record, revision: entry.modRevision };
  },
  /** Writes a record that has `expectedRevision` (0: absent); resolves with whether it is there. */
  write: async (vm: string, record: LeaseRecord, expectedRevision: number): Promise<boolean> => {
    const put = { key: KEY_PREFIX + vm, valueJson: JSON.stringify(record), expectedRevision };
    const outcome = await platform.compareAndSwap([put], timeoutMs);
    return outcome.kind === 'applied';
  },
});

export default createLeaseRecords;
