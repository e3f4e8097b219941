import { z } from 'zod';

/** Name of a profile, client account, group or endpoint. */
const nameSchema = z
  .string()
  .regex(
    /^[a-z0-9][a-z0-9-]{0,62}$/,
    'must be 1 to 63 lower-case letters, digits or hyphens and not start with a hyphen',
  );

export default nameSchema;
