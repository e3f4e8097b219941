import type { GroupCall } from '../generated/auburngrade/session/v1/session';

/** A group call as a session makes it; the group router and the peer link add the other fields. */
type SessionCall = Omit<GroupCall, 'call' | 'hasValues' | 'values' | 'waitedMs'>;

export default SessionCall;
