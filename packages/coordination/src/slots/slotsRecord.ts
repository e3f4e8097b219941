import type { z } from 'zod';
import type slotsSchema from './slotsSchema';

/** The stored record of the VMs that hold a group's slots. */
type SlotsRecord = z.infer<typeof slotsSchema>;

export default SlotsRecord;
