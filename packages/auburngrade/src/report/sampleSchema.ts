import { z } from 'zod';
import requestCountersSchema from './requestCountersSchema';

const vmSampleSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('reached'), counters: z.array(requestCountersSchema) }),
  z.object({ kind: z.literal('unreachable'), message: z.string() }),
]);

/** What the VMs said at one time, by the HTTP address of each. */
const sampleSchema = z.object({
  atMs: z.number(),
  vms: z.record(z.string(), vmSampleSchema),
});

export default sampleSchema;
