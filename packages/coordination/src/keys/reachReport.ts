import type { z } from 'zod';
import type reachReportSchema from './reachReportSchema';

/** A witness's answer during an outage. */
type ReachReport = z.infer<typeof reachReportSchema>;

export default ReachReport;
