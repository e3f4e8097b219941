import type { z } from 'zod';
import type termSchema from './termSchema';

/** A group's term record. */
type TermRecord = z.infer<typeof termSchema>;

export default TermRecord;
