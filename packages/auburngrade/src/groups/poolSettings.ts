import type { z } from 'zod';
import type poolSettingsSchema from './poolSettingsSchema';

/** Settings of the connection pools with their defaults filled in. */
type PoolSettings = z.infer<typeof poolSettingsSchema>;

export default PoolSettings;
