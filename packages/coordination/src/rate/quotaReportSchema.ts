import { z } from 'zod';
import leaseRecordSchema from '../witness/leaseRecordSchema';

/** A consumer's report to the quota allocator, including the tokens it requests. */
const quotaReportSchema = z.strictObject({
  /** Key of the quota record. */
  share: z.string().min(1),
  epoch: z.number().int().positive(),
  vm: z.string().min(1),
  incarnation: z.number().int().nonnegative(),
  /** Increases with each message of an incarnation within an epoch. */
  sequence: z.number().int().positive(),
  heldUnits: z.number().int().nonnegative(),
  /** The VM's lease under which the units are held. */
  lease: leaseRecordSchema,
  /** Tokens removed with the units released since the last message. */
  releasedTokens: z.number().nonnegative(),
  demandPerS: z.number().nonnegative(),
  neededTokens: z.number().nonnegative(),
});

export default quotaReportSchema;
