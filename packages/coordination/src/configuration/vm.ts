import type { z } from 'zod';
import type vmSchema from './vmSchema';

/** An entry of the platform's list of VMs. */
type Vm = z.infer<typeof vmSchema>;

export default Vm;
