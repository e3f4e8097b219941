import type { z } from 'zod';
import type rateLimitSchema from '../configuration/rateLimitSchema';

/** A request rate and burst of an account, enforced over all VMs together. */
type RateLimit = z.infer<typeof rateLimitSchema>;

export default RateLimit;
