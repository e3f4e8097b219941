import type { z } from 'zod';
import type leaseRecordSchema from './leaseRecordSchema';

/** The platform's record of the witnesses of a VM's lease. */
type LeaseRecord = z.infer<typeof leaseRecordSchema>;

export default LeaseRecord;
