import type { z } from 'zod';
import type reachReportSchema from './reachReportSchema';

/** A witness's report on whether it has heard from the platform, sent during an outage. */
type ReachReport = z.infer<typeof reachReportSchema>;

export default ReachReport;
