import type { z } from 'zod';
import type verdictSchema from './verdictSchema';

/** Whether a request may have taken effect. */
type Verdict = z.infer<typeof verdictSchema>;

export default Verdict;
