import { z } from 'zod';
import nameSchema from './nameSchema';

/**
 * A group's current term, written by compare-and-swap. `history` lists for each term that
 * became active the log position at which it started. `voters` are the members of which a
 * majority acknowledges writes of the term.
 */
const termSchema = z.strictObject({
  term: z.number().int().positive(),
  state: z.enum(['promoting', 'active']),
  primary: nameSchema.optional(),
  promoter: z.string().optional(),
  voters: z.array(nameSchema).optional(),
  history: z.array(
    z.strictObject({
      term: z.number().int().positive(),
      startPosition: z.number().int().nonnegative(),
    }),
  ),
});

export default termSchema;
