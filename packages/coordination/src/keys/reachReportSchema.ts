import { z } from 'zod';

/** A witness's answer during an outage. */
const reachReportSchema = z.strictObject({
  /** Time since it last heard, from any side, that the platform answered a VM; null: never. */
  reachedAgeMs: z.number().nonnegative().nullable(),
  /** Highest revision that it knows of, of its configuration or told with a withdrawal. */
  revision: z.number().int().nonnegative(),
  uptimeMs: z.number().nonnegative(),
});

export default reachReportSchema;
