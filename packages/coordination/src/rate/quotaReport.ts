import type { z } from 'zod';
import type quotaReportSchema from './quotaReportSchema';

/** A consumer's report to the quota allocator. */
type QuotaReport = z.infer<typeof quotaReportSchema>;

export default QuotaReport;
