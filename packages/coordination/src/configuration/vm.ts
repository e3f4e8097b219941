import type { z } from 'zod';
import type vmSchema from './vmSchema';

/** A VM's entry in the platform's list. */
type Vm = z.infer<typeof vmSchema>;

export default Vm;
