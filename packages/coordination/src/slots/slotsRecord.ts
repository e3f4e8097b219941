import type { z } from 'zod';
import type slotsSchema from './slotsSchema';

/** Which VMs hold a group's slots. */
type SlotsRecord = z.infer<typeof slotsSchema>;

export default SlotsRecord;
