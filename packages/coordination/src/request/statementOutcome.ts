import type { z } from 'zod';
import type statementOutcomeSchema from './statementOutcomeSchema';

/** Result of a statement that ran. */
type StatementOutcome = z.infer<typeof statementOutcomeSchema>;

export default StatementOutcome;
