import type { GroupCall } from '../generated/auburngrade/session/v1/session';

/** A group call as a session makes it; the link fills in the rest. */
type SessionCall = Omit<GroupCall, 'call' | 'hasValues' | 'values' | 'waitedMs'>;

export default SessionCall;
