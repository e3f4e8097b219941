import { z } from 'zod';

/**
 * The stored record of an account's quota: `keeper` is the VM that runs the allocator. Only
 * VMs in `holders` may be granted units in this epoch.
 */
const quotaRecordSchema = z.strictObject({
  epoch: z.number().int().positive(),
  keeper: z.string().min(1),
  incarnation: z.number().int().nonnegative(),
  holders: z.array(z.string()),
  /** VMs that held units when the epoch began; if absent, any VM in `holders` may have. */
  holding: z.array(z.string()).optional(),
  /** VMs that may still be active as the allocator of an earlier epoch. */
  former: z.array(z.string()).default([]),
});

export default quotaRecordSchema;
