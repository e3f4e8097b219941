import { z } from 'zod';

/** The answering VM's view of the primary; `present` also when it knows a later term. */
const suspicionReplySchema = z.object({ view: z.enum(['present', 'gone', 'unknown']) });

export default suspicionReplySchema;
