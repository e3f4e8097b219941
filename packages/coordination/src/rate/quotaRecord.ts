import type { z } from 'zod';
import type quotaRecordSchema from './quotaRecordSchema';

/** The stored record of an account's quota allocator and consumers. */
type QuotaRecord = z.infer<typeof quotaRecordSchema>;

export default QuotaRecord;
