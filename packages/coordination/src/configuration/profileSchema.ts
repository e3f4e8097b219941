import { z } from 'zod';
import nameSchema from './nameSchema';
import rateLimitSchema from './rateLimitSchema';

const freshnessSchema = z.discriminatedUnion('kind', [
  z.strictObject({ kind: z.literal('session') }),
  z.strictObject({ kind: z.literal('primary') }),
  z.strictObject({ kind: z.literal('maxAge'), maxAgeMs: z.number().int().min(1).max(3_600_000) }),
]);

const endpointPolicySchema = z.strictObject({
  drainTimeoutMs: z.number().int().min(0).max(60_000).default(3_000),
  joinMaxLagPositions: z.number().int().min(0).default(1_000),
});

const objectivesSchema = z.strictObject({
  availabilityRatio: z.number().min(0).max(1).default(0.999),
  latencyMs: z.number().positive().default(100),
  latencyRatio: z.number().min(0).max(1).default(0.99),
  freshnessRatio: z.number().min(0).max(1).default(0.999),
});

/**
 * A named profile: how fresh reads must be, which accounts may use it, for which groups and at
 * what rate, how endpoints join and leave. An empty `groups` allows every group.
 */
const profileSchema = z
  .strictObject({
    openToAll: z.boolean().default(false),
    accounts: z.array(nameSchema).max(10_000).default([]),
    groups: z.array(nameSchema).max(10_000).default([]),
    freshness: freshnessSchema.default({ kind: 'session' }),
    limit: rateLimitSchema.optional(),
    endpoints: endpointPolicySchema.default(endpointPolicySchema.parse({})),
    objectives: objectivesSchema.default(objectivesSchema.parse({})),
  })
  .refine((profile) => !(profile.openToAll && profile.accounts.length > 0), {
    path: ['accounts'],
    message: 'must be empty if openToAll is set',
  });

export default profileSchema;
