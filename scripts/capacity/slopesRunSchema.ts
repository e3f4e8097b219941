import { z } from 'zod';

/** A file that `npm run slopes` writes, as far as the capacity page needs it. */
const slopesRunSchema = z.object({
  commit: z.string(),
  date: z.string(),
  results: z.array(
    z.object({
      name: z.string(),
      unit: z.string(),
      rows: z.array(z.object({ size: z.number() })),
      slopes: z.array(z.object({ measure: z.string(), base: z.number(), slope: z.number() })),
      failures: z.array(z.string()),
    }),
  ),
});

export default slopesRunSchema;
