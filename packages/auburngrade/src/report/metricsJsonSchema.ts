import { z } from 'zod';

const labelSchema = z.union([z.string(), z.number()]);

/** The metrics of a VM as `/metrics.json` serves them. */
const metricsJsonSchema = z.array(
  z.object({
    name: z.string(),
    values: z.array(
      z.object({
        value: z.number().nullable(),
        labels: z.record(z.string(), labelSchema),
        metricName: z.string().optional(),
      }),
    ),
  }),
);

export default metricsJsonSchema;
