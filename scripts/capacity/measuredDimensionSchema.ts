import { z } from 'zod';

/** One dimension's fitted lines with the run that gave them. */
const measuredDimensionSchema = z.strictObject({
  name: z.string(),
  unit: z.string(),
  commit: z.string(),
  date: z.string(),
  sizes: z.array(z.number()),
  slopes: z.array(z.strictObject({ measure: z.string(), base: z.number(), slope: z.number() })),
  failures: z.array(z.string()),
});

export default measuredDimensionSchema;
