import type { z } from 'zod';
import type sampleSchema from './sampleSchema';

/** What the VMs said at one time. */
type Sample = z.infer<typeof sampleSchema>;

export default Sample;
