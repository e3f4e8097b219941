import { z } from 'zod';

/** How the answering VM sees the primary; `present` also when it knows a later term. */
const suspicionReplySchema = z.object({ view: z.enum(['present', 'gone', 'unknown']) });

export default suspicionReplySchema;
