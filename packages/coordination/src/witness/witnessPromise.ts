import type { z } from 'zod';
import type witnessPromiseSchema from './witnessPromiseSchema';

/** A witness's answer to the request to stop renewing a VM's lease. */
type WitnessPromise = z.infer<typeof witnessPromiseSchema>;

export default WitnessPromise;
