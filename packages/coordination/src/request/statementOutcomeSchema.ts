import { z } from 'zod';
import sessionTokenSchema from '../session/sessionTokenSchema';

/** What a statement that ran gave: rows as text, the session's token, and who served it. */
const statementOutcomeSchema = z.object({
  rows: z.object({
    columns: z.array(z.string()),
    rows: z.array(z.array(z.string().nullable())),
    command: z.string(),
    rowCount: z.number().int(),
  }),
  sessionToken: sessionTokenSchema,
  servedBy: z.object({
    vm: z.string(),
    endpoint: z.string(),
    role: z.enum(['primary', 'replica']),
  }),
});

export default statementOutcomeSchema;
