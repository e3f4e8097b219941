import type { z } from 'zod';
import type termSchema from './termSchema';

/** The stored record of a group's current term, its primary and earlier terms. */
type TermRecord = z.infer<typeof termSchema>;

export default TermRecord;
