import { z } from 'zod';
import witnessGroupsSchema from './witnessGroupsSchema';

/**
 * The witnesses of a VM's lease and the number under which they renew it. A VM writes it to the
 * platform before it spends anything under it, and only while it spends nothing.
 */
const leaseRecordSchema = z.strictObject({
  /** Rises with each process of the VM and each change of the record. */
  term: z.number().int().nonnegative(),
  groups: witnessGroupsSchema,
});

export default leaseRecordSchema;
