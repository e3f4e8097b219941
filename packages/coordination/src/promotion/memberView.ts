import type MemberStatus from '../acknowledgement/memberStatus';

/** What this VM knows of one member from its own polls; times are on its own clock. */
interface MemberView {
  member: string;
  status: MemberStatus | undefined;
  /** When the first poll began that has had no answer since the last one; undefined when none. */
  unansweredSinceMs: number | undefined;
}

export default MemberView;
