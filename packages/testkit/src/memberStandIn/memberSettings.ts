import type { z } from 'zod';
import type memberSettingsSchema from './memberSettingsSchema';

/** Settings of one stand-in member. */
type MemberSettings = z.infer<typeof memberSettingsSchema>;

export default MemberSettings;
