import type { z } from 'zod';
import type leaseTermSchema from './leaseTermSchema';

/** One term of a VM's lease. */
type LeaseTerm = z.infer<typeof leaseTermSchema>;

export default LeaseTerm;
