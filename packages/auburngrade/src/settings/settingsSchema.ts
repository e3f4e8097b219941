import { nameSchema } from '@auburngrade/coordination';
import { z } from 'zod';
import admissionSettingsSchema from '../admission/admissionSettingsSchema';
import poolSettingsSchema from '../groups/poolSettingsSchema';
import findPortClashes from './findPortClashes';
import keysSettingsSchema from './keysSettingsSchema';
import tlsSettingsSchema from './tlsSettingsSchema';

const portSchema = z.number().int().min(1).max(65_535);

/** Settings of one VM's daemon: the one source of their types and defaults. */
const settingsSchema = z
  .strictObject({
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
    /** VMs (`host:vmPort`) that a fresh VM asks for configuration first. */
    peers: z
      .array(z.string().regex(/^.+:\d+$/, 'host:port'))
      .max(64)
      .default([]),
    /** Replaces addresses (`host:port`) of endpoints and VMs as this VM reaches them. */
    addresses: z.record(z.string(), z.string()).default({}),
    tls: tlsSettingsSchema,
    keys: keysSettingsSchema.default(keysSettingsSchema.parse({})),
    admission: admissionSettingsSchema.default(admissionSettingsSchema.parse({})),
    pools: poolSettingsSchema.default(poolSettingsSchema.parse({})),
    /** When a group's primary is replaced. */
    failover: z
      .strictObject({
        suspectAfterMs: z.number().int().min(100).max(60_000).default(600),
        stallAfterMs: z.number().int().min(500).max(60_000).default(3_000),
        takeOverAfterMs: z.number().int().min(500).max(60_000).default(2_000),
      })
      .default({ suspectAfterMs: 600, stallAfterMs: 3_000, takeOverAfterMs: 2_000 }),
    evacuation: z
      .strictObject({
        /** How long open transactions, and a primary, are used in a data centre that is evacuated. */
        drainTimeoutMs: z.number().int().min(0).max(600_000).default(2_000),
      })
      .default({ drainTimeoutMs: 2_000 }),
    heap: z
      .strictObject({
        /** `small` collects garbage more often, for less memory after a peak; `default` leaves that to Node. */
        mode: z.enum(['small', 'default']).default('small'),
      })
      .default({ mode: 'small' }),
    log: z
      .strictObject({ level: z.enum(['debug', 'info', 'warn', 'error']).default('info') })
      .default({ level: 'info' }),
    requests: z
      .strictObject({
        maxStatementBytes: z.number().int().min(64).max(16_777_216).default(1_048_576),
        maxTimeoutMs: z.number().int().min(1).max(600_000).default(30_000),
      })
      .default({ maxStatementBytes: 1_048_576, maxTimeoutMs: 30_000 }),
    callers: z
      .strictObject({
        /** Requests and transactions under way on one connection; a client holds back further ones. */
        maxStreamsPerConnection: z.number().int().min(1).max(100_000).default(1_000),
      })
      .default({ maxStreamsPerConnection: 1_000 }),
    reads: z
      .strictObject({
        /** How long a read waits for a replica to catch up before it loads the primary. */
        catchUpWaitMs: z.number().int().min(0).max(10_000).default(20),
      })
      .default({ catchUpWaitMs: 20 }),
    shutdown: z
      .strictObject({
        /** How long a VM that shuts down goes on refusing requests, so that none finds a closed port. */
        noticeMs: z.number().int().min(0).max(60_000).default(300),
        /** How long running requests and open transactions may take to end. */
        drainTimeoutMs: z.number().int().min(0).max(600_000).default(10_000),
      })
      .default({ noticeMs: 300, drainTimeoutMs: 10_000 }),
  })
  .superRefine((settings, context) => {
    findPortClashes(settings).forEach(({ path, message }) => {
      context.addIssue({ code: 'custom', path: [path], message });
    });
  });

export default settingsSchema;
