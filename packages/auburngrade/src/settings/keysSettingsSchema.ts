import { z } from 'zod';

/** How keys are handled while a VM cannot tell whether they were withdrawn. */
const keysSettingsSchema = z.strictObject({
  /** Age of the platform's last confirmation up to which keys are accepted. */
  maxUnconfirmedMs: z.number().int().min(2_500).max(4_800).default(4_500),
  whenUnvouched: z.enum(['refuse', 'serve']).default('refuse'),
});

export default keysSettingsSchema;
