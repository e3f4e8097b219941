import { z } from 'zod';

/** How requests wait for connections to endpoints. */
const poolSettingsSchema = z.strictObject({
  /** `firstComeFirstServed` ignores client accounts; it is kept as a baseline. */
  order: z.enum(['fair', 'firstComeFirstServed']).default('fair'),
  maxQueuedPerAccount: z.number().int().min(1).max(100_000).default(256),
  maxQueued: z.number().int().min(1).max(1_000_000).default(1_024),
});

export default poolSettingsSchema;
