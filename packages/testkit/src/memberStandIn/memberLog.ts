import type createMemberLog from './createMemberLog';

/** The log of a stand-in member. */
type MemberLog = ReturnType<typeof createMemberLog>;

export default MemberLog;
