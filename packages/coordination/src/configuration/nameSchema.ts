import { z } from 'zod';

/** Names of profiles, client accounts, groups and endpoints. */
const nameSchema = z
  .string()
  .regex(/^[a-z0-9][a-z0-9-]{0,62}$/, 'lower-case letters, digits and hyphens, 63 at most');

export default nameSchema;
