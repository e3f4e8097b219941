import type { z } from 'zod';
import type sessionTokenSchema from './sessionTokenSchema';

/** Per database group, the term and log position of the session's last write. */
type SessionToken = z.infer<typeof sessionTokenSchema>;

export default SessionToken;
