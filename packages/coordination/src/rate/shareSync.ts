import type { z } from 'zod';
import type shareSyncSchema from './shareSyncSchema';

/** A consumer's report to the quota allocator. */
type ShareSync = z.infer<typeof shareSyncSchema>;

export default ShareSync;
