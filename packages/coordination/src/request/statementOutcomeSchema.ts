import { z } from 'zod';
import sessionTokenSchema from '../session/sessionTokenSchema';

/** Result of a statement that ran: rows as text, the updated session token, and the serving endpoint. */
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
