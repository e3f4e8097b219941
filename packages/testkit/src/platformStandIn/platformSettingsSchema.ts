import { z } from 'zod';

/** Settings of the stand-in of the platform's key-value service. */
const platformSettingsSchema = z.strictObject({
  host: z.string().default('127.0.0.1'),
  port: z.number().int(),
  controlPort: z.number().int(),
  delayMs: z.number().default(1),
  listLagMs: z.number().default(200),
});

export default platformSettingsSchema;
