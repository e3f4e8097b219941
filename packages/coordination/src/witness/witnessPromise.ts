import type { z } from 'zod';
import type witnessPromiseSchema from './witnessPromiseSchema';

/** A witness's answer to the request that it renew a VM's lease no more. */
type WitnessPromise = z.infer<typeof witnessPromiseSchema>;

export default WitnessPromise;
