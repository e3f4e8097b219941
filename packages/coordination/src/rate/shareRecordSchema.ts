import { z } from 'zod';

/**
 * Which VM keeps the shares of an account's rate. Only VMs named in `holders`
 * may be granted units in this epoch.
 */
const shareRecordSchema = z.strictObject({
  epoch: z.number().int().positive(),
  keeper: z.string().min(1),
  incarnation: z.number().int().nonnegative(),
  holders: z.array(z.string()),
  /** VMs that held units when the epoch began; without it any holder may have. */
  holding: z.array(z.string()).optional(),
  /** VMs that may still act as the keeper of an earlier epoch. */
  former: z.array(z.string()).default([]),
});

export default shareRecordSchema;
