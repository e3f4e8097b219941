import { z } from 'zod';

/** Per database group, the term and log position that a member must have applied to be read. */
const sessionTokenSchema = z.record(
  z.string().min(1).max(128),
  z.strictObject({
    term: z.number().int().nonnegative(),
    position: z.number().int().nonnegative(),
  }),
);

export default sessionTokenSchema;
