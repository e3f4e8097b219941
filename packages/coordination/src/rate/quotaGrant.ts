import type { z } from 'zod';
import type quotaGrantSchema from './quotaGrantSchema';

/** The allocator's answer to a consumer's report. */
type QuotaGrant = z.infer<typeof quotaGrantSchema>;

export default QuotaGrant;
