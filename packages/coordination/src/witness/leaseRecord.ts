import type { z } from 'zod';
import type leaseRecordSchema from './leaseRecordSchema';

/** The stored record of a VM's lease: its term and its witnesses. */
type LeaseRecord = z.infer<typeof leaseRecordSchema>;

export default LeaseRecord;
