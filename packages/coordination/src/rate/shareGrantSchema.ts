import { z } from 'zod';

/** The keeper's answer to a report: the units that the holder has from now on. */
const shareGrantSchema = z.discriminatedUnion('kind', [
  z.strictObject({
    kind: z.literal('granted'),
    epoch: z.number().int().positive(),
    sequence: z.number().int().positive(),
    units: z.number().int().nonnegative(),
    /** Tokens that go with added units. */
    tokens: z.number().nonnegative(),
    /** False when a holder that may have tokens to spare did not answer the keeper in time. */
    hasAskedAll: z.boolean(),
  }),
  z.strictObject({ kind: z.literal('refused'), reason: z.string() }),
]);

export default shareGrantSchema;
