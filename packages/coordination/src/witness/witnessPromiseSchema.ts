import { z } from 'zod';

/** A witness's answer to the request to stop renewing a VM's lease. */
const witnessPromiseSchema = z.strictObject({
  /** False while the VM counts as alive. */
  isPromised: z.boolean(),
  /** Time since the witness last renewed the lease; since its start if it has not renewed it. */
  renewedAgeMs: z.number().nonnegative(),
});

export default witnessPromiseSchema;
