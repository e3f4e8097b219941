import { z } from 'zod';

/** Asks another VM with a slot of the group for its view of the primary of a term. */
const suspicionMessageSchema = z.object({
  group: z.string(),
  term: z.number().int().positive(),
});

export default suspicionMessageSchema;
