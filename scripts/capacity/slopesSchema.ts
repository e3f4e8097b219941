import { z } from 'zod';

/** The file that `npm run slopes` writes, as far as the capacity page needs it. */
const slopesSchema = z.object({
  commit: z.string(),
  date: z.string(),
  node: z.string(),
  cores: z.number(),
  results: z.array(
    z.object({
      name: z.string(),
      unit: z.string(),
      rows: z.array(z.record(z.string(), z.number())),
      slopes: z.array(z.object({ measure: z.string(), base: z.number(), slope: z.number() })),
      failures: z.array(z.string()),
    }),
  ),
});

export default slopesSchema;
