import { z } from 'zod';

/** The term of a VM's lease in heartbeats, promise requests and lease records. */
const leaseTermSchema = z.strictObject({
  /** Increases with each process of the VM and each change of its lease record. */
  term: z.number().int().nonnegative(),
  /** How long a renewal lasts; omitted by earlier versions and for `UNSTATED_LEASE_MS`. */
  leaseMs: z.number().int().positive().optional(),
});

export default leaseTermSchema;
