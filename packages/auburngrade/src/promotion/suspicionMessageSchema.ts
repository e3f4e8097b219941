import { z } from 'zod';

/** Asks another holder of a group's connections how it sees the primary of a term. */
const suspicionMessageSchema = z.object({
  group: z.string(),
  term: z.number().int().positive(),
});

export default suspicionMessageSchema;
