import { z } from 'zod';

/** A witness's report on whether it has heard from the platform, sent during an outage. */
const platformReachReportSchema = z.strictObject({
  /** Time since the platform last answered a VM, as far as the witness knows; null: never. */
  reachedAgeMs: z.number().nonnegative().nullable(),
  /** Highest revision it knows, from its configuration or from a withdrawal notice. */
  revision: z.number().int().nonnegative(),
  /** Time since the witness's process started. */
  uptimeMs: z.number().nonnegative(),
});

export default platformReachReportSchema;
