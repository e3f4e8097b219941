import type { z } from 'zod';
import type settingsSchema from './settingsSchema';

/** Settings of one VM's daemon with their defaults filled in. */
type Settings = z.infer<typeof settingsSchema>;

export default Settings;
