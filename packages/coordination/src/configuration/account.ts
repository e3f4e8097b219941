import type { z } from 'zod';
import type accountSchema from './accountSchema';

/** A client account. */
type Account = z.infer<typeof accountSchema>;

export default Account;
