import type { z } from 'zod';
import type sampleSchema from './sampleSchema';

/** Request counters of the VMs at one time. */
type Sample = z.infer<typeof sampleSchema>;

export default Sample;
