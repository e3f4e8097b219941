import { z } from 'zod';
import leaseRecordSchema from '../witness/leaseRecordSchema';

/** A holder's report to the keeper of a share, and its wish for more. */
const shareSyncSchema = z.strictObject({
  /** Name of the share's record. */
  share: z.string().min(1),
  epoch: z.number().int().positive(),
  vm: z.string().min(1),
  incarnation: z.number().int().nonnegative(),
  /** Rises with each message of an incarnation in an epoch. */
  sequence: z.number().int().positive(),
  heldUnits: z.number().int().nonnegative(),
  /** The lease under which the units are held. */
  lease: leaseRecordSchema,
  /** Tokens that went with units given up since the last message. */
  releasedTokens: z.number().nonnegative(),
  demandPerS: z.number().nonnegative(),
  neededTokens: z.number().nonnegative(),
});

export default shareSyncSchema;
