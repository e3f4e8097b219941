import { z } from 'zod';
import nameSchema from './nameSchema';

/** A key, stored under the SHA-256 hash of its secret (hex); the secret itself is never stored. */
const keySchema = z.strictObject({
  account: nameSchema,
  withdrawn: z.boolean().default(false),
});

export default keySchema;
