import type { z } from 'zod';
import type sessionTokenSchema from './sessionTokenSchema';

/** What a session has written, per database group. */
type SessionToken = z.infer<typeof sessionTokenSchema>;

export default SessionToken;
