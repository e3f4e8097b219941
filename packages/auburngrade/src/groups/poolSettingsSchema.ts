import { z } from 'zod';

/** Settings for the queue of requests that wait for endpoint connections. */
const poolSettingsSchema = z.strictObject({
  /** `firstComeFirstServed` ignores client accounts; a baseline to compare `fair` with. */
  order: z.enum(['fair', 'firstComeFirstServed']).default('fair'),
  maxQueuedPerAccount: z.number().int().min(1).max(100_000).default(256),
  maxQueued: z.number().int().min(1).max(1_000_000).default(1_024),
});

export default poolSettingsSchema;
