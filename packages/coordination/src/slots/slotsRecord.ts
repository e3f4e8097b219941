import type { z } from 'zod';
import type slotsRecordSchema from './slotsRecordSchema';

/** The stored record of the VMs that hold a group's slots. */
type SlotsRecord = z.infer<typeof slotsRecordSchema>;

export default SlotsRecord;
