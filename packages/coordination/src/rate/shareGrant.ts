import type { z } from 'zod';
import type shareGrantSchema from './shareGrantSchema';

/** The allocator's answer to a consumer's report. */
type ShareGrant = z.infer<typeof shareGrantSchema>;

export default ShareGrant;
