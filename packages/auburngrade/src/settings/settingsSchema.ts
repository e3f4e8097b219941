import { nameSchema } from '@auburngrade/coordination';
import { z } from 'zod';
import admissionSettingsSchema from '../admission/admissionSettingsSchema';

const portSchema = z.number().int().min(1).max(65_535);

/** Settings of one VM's daemon: the one source of their types and defaults. */
const settingsSchema = z.strictObject({
  vm: nameSchema,
  dataCentre: nameSchema,
  host: z.string().default('127.0.0.1'),
  callerPort: portSchema,
  vmPort: portSchema,
  operatorPort: portSchema,
  httpPort: portSchema,
  platform: z.strictObject({
    address: z.string().min(1),
    timeoutMs: z.number().int().min(10).max(60_000).default(1_000),
  }),
  /** Replaces addresses (`host:port`) of endpoints and VMs as this VM reaches them. */
  addresses: z.record(z.string(), z.string()).default({}),
  admission: admissionSettingsSchema.default(admissionSettingsSchema.parse({})),
  log: z
    .strictObject({ level: z.enum(['debug', 'info', 'warn', 'error']).default('info') })
    .default({ level: 'info' }),
  requests: z
    .strictObject({
      maxStatementBytes: z.number().int().min(64).max(16_777_216).default(1_048_576),
      maxTimeoutMs: z.number().int().min(1).max(600_000).default(30_000),
    })
    .default({ maxStatementBytes: 1_048_576, maxTimeoutMs: 30_000 }),
});

export default settingsSchema;
