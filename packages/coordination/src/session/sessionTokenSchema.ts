import { z } from 'zod';

/** Per database group, the term and log position that the session's reads must have reached. */
const sessionTokenSchema = z.record(
  z.string().min(1).max(128),
  z.strictObject({
    term: z.number().int().nonnegative(),
    position: z.number().int().nonnegative(),
  }),
);

export default sessionTokenSchema;
