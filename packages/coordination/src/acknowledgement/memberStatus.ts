/** Reply of a member to a status poll. */
interface MemberStatus {
  member: string;
  role: 'primary' | 'replica';
  /** Highest term at which the member was fenced; it refuses commands of lower terms. */
  fencedTerm: number;
  /** Term of the last entry of its log. */
  logTerm: number;
  /** Position of the last entry of its log. */
  position: number;
  /** Monotonic time of this process just before the poll was sent, in milliseconds. */
  askedAtMs: number;
}

export default MemberStatus;
