import { z } from 'zod';

const countSchema = z.number().nonnegative();

/** Counters of one VM for one profile and client account since the VM started. */
const requestCountersSchema = z.object({
  profile: z.string(),
  account: z.string(),
  ran: countSchema,
  /** Refusals by code. */
  refused: z.record(z.string(), countSchema),
  /** Requests that ran within each bound, cumulative, by the bound in seconds. */
  withinS: z.record(z.string(), countSchema),
});

export default requestCountersSchema;
