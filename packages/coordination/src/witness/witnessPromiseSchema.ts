import { z } from 'zod';

/** A witness's answer to the request that it renew a VM's lease no more. */
const witnessPromiseSchema = z.strictObject({
  /** False while the witness still hears from the VM. */
  isPromised: z.boolean(),
  /** Time since it last renewed the lease, or may have done so before it started. */
  renewedAgeMs: z.number().nonnegative(),
});

export default witnessPromiseSchema;
