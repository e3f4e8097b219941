import { z } from 'zod';

/** Settings of one stand-in member; the control port serves tests over HTTP. */
const memberSettingsSchema = z.strictObject({
  name: z.string(),
  host: z.string().default('127.0.0.1'),
  port: z.number().int(),
  replicationPort: z.number().int(),
  controlPort: z.number().int(),
  term: z.number().int().default(1),
  upstream: z.strictObject({ host: z.string(), port: z.number().int() }).optional(),
  connectionLimit: z.number().int().default(100),
  connectDelayMs: z.number().default(10),
  replicationLagMs: z.number().default(1),
  statementDelayMs: z.number().default(0),
});

export default memberSettingsSchema;
