import { z } from 'zod';
import witnessGroupsSchema from './witnessGroupsSchema';

/**
 * The platform's record of the witnesses of a VM's lease. A VM writes it before it spends
 * anything under them, and only while it spends nothing.
 */
const leaseRecordSchema = z.strictObject({
  incarnation: z.number().int().nonnegative(),
  groups: witnessGroupsSchema,
});

export default leaseRecordSchema;
