import type { z } from 'zod';
import type platformReachReportSchema from './platformReachReportSchema';

/** A witness's report on whether it has heard from the platform, sent during an outage. */
type PlatformReachReport = z.infer<typeof platformReachReportSchema>;

export default PlatformReachReport;
