import { z } from 'zod';

/** A rate in requests per second and a burst in requests, both counted over the whole fleet. */
const rateLimitSchema = z.strictObject({
  ratePerS: z.number().positive().max(1_000_000),
  burst: z.number().int().positive().max(1_000_000),
});

export default rateLimitSchema;
