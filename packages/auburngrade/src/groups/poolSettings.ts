import type { z } from 'zod';
import type poolSettingsSchema from './poolSettingsSchema';

/** Connection pool settings with defaults applied. */
type PoolSettings = z.infer<typeof poolSettingsSchema>;

export default PoolSettings;
