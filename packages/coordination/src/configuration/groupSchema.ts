import { z } from 'zod';
import minConnectionBudget from '../slots/minConnectionBudget';
import nameSchema from './nameSchema';

const memberSchema = z.strictObject({
  name: nameSchema,
  dataCentre: nameSchema,
  host: z.string().min(1),
  port: z.number().int().min(1).max(65_535),
  replicationPort: z.number().int().min(1).max(65_535),
  state: z.enum(['active', 'leaving']).default('active'),
});

/** A database group: its members and the number of connections that the fleet may open to it. */
const groupSchema = z
  .strictObject({
    members: z.array(memberSchema).min(1).max(15),
    slots: z.number().int().min(1).max(16).default(3),
    connectionBudget: z.number().int().min(3).max(10_000).default(20),
    database: z.string().default('postgres'),
    user: z.string().default('auburngrade'),
  })
  .refine((group) => new Set(group.members.map(({ name }) => name)).size === group.members.length, {
    path: ['members'],
    message: 'member names must be unique',
  })
  .superRefine((group, context) => {
    const smallest = minConnectionBudget(group);
    if (group.connectionBudget >= smallest) return;
    const message = `must be at least ${smallest} for ${group.slots} slots and ${group.members.length} members: each slot needs two connections to each member`;
    context.addIssue({ code: 'custom', path: ['connectionBudget'], message });
  });

export default groupSchema;
