import type { z } from 'zod';
import type leaseRecordSchema from './leaseRecordSchema';

/** The witnesses of a VM's lease and the term under which they renew it. */
type LeaseRecord = z.infer<typeof leaseRecordSchema>;

export default LeaseRecord;
