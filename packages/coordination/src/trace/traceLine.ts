import type { z } from 'zod';
import type traceLineSchema from './traceLineSchema';

/** One line of a recorded trace. */
type TraceLine = z.infer<typeof traceLineSchema>;

export default TraceLine;
