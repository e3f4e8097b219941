import type { z } from 'zod';
import type shareSyncSchema from './shareSyncSchema';

/** A holder's report to the keeper of a share. */
type ShareSync = z.infer<typeof shareSyncSchema>;

export default ShareSync;
