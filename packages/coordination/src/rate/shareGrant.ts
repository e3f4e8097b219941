import type { z } from 'zod';
import type shareGrantSchema from './shareGrantSchema';

/** The keeper's answer to a holder's report. */
type ShareGrant = z.infer<typeof shareGrantSchema>;

export default ShareGrant;
