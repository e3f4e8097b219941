import type { z } from 'zod';
import type leaseTermSchema from './leaseTermSchema';

/** The term number and length of a VM's lease. */
type LeaseTerm = z.infer<typeof leaseTermSchema>;

export default LeaseTerm;
