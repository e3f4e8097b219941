import { z } from 'zod';
import nameSchema from './nameSchema';

/** An account's key, stored under the SHA-256 hash (hex) of its secret, which is never stored. */
const keySchema = z.strictObject({
  account: nameSchema,
  withdrawn: z.boolean().default(false),
});

export default keySchema;
