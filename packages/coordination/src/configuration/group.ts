import type { z } from 'zod';
import type groupSchema from './groupSchema';

/** A database group, as configured by operators. */
type Group = z.infer<typeof groupSchema>;

export default Group;
