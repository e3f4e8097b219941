import type MemberStatus from '../acknowledgement/memberStatus';

/** Result of this VM's polls of one member; times are on this process's monotonic clock. */
interface MemberView {
  member: string;
  status: MemberStatus | undefined;
  /** Start of the first unanswered poll since the last answer; undefined when all were answered. */
  unansweredSinceMs: number | undefined;
}

export default MemberView;
