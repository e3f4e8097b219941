import { z } from 'zod';
import rateLimitSchema from './rateLimitSchema';

/** A client account: its fleet-wide rate limit and its weight in fair queues. */
const accountSchema = z.strictObject({
  limit: rateLimitSchema,
  weight: z.number().positive().max(1_000).default(1),
});

export default accountSchema;
