import type { z } from 'zod';
import type rateLimitSchema from '../configuration/rateLimitSchema';

/** A rate and a burst counted over the whole fleet. */
type RateLimit = z.infer<typeof rateLimitSchema>;

export default RateLimit;
