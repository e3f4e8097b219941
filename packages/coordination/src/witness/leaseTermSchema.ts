import { z } from 'zod';

/** One term of a VM's lease, as heartbeats, requests for promises and records name it. */
const leaseTermSchema = z.strictObject({
  /** Rises with each process of the VM and each change of the record. */
  term: z.number().int().nonnegative(),
  /** How long a renewal lasts; left out by earlier versions and for `UNSTATED_LEASE_MS`. */
  leaseMs: z.number().int().positive().optional(),
});

export default leaseTermSchema;
