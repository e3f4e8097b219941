import { z } from 'zod';

/** The allocator's answer to a report: `units` is the consumer's new total. */
const quotaGrantSchema = z.discriminatedUnion('kind', [
  z.strictObject({
    kind: z.literal('granted'),
    epoch: z.number().int().positive(),
    sequence: z.number().int().positive(),
    units: z.number().int().nonnegative(),
    /** Tokens transferred with the added units. */
    tokens: z.number().nonnegative(),
    /** False when a consumer that may have spare tokens did not answer a recall in time. */
    hasAskedAll: z.boolean(),
  }),
  z.strictObject({ kind: z.literal('refused'), reason: z.string() }),
]);

export default quotaGrantSchema;
