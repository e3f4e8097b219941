/** One answer to a status poll of a member. */
interface MemberStatus {
  member: string;
  role: 'primary' | 'replica';
  /** Highest term the member has promised to obey; lower terms are refused. */
  fencedTerm: number;
  /** Term of the last entry of its log. */
  logTerm: number;
  /** Position of the last entry of its log. */
  position: number;
  /** Monotonic time of this process just before the poll was sent, in milliseconds. */
  askedAtMs: number;
}

export default MemberStatus;
