import type MemberStatus from '../acknowledgement/memberStatus';
import type Member from '../configuration/member';
import type Profile from '../configuration/profile';
import type TermRecord from '../configuration/termRecord';
import type Watermark from '../freshness/watermark';
import type SessionToken from '../session/sessionToken';

/** What a VM knows when it chooses an endpoint for a read. */
interface ReadState {
  record: TermRecord;
  members: readonly Pick<Member, 'name' | 'dataCentre' | 'state'>[];
  statuses: readonly MemberStatus[];
  watermarks: readonly Watermark[];
  /** The session's entry for the group. */
  tokenEntry: SessionToken[string] | undefined;
  freshness: Profile['freshness'];
  /** Replicas further behind the primary than this take no reads. */
  maxLagPositions: number;
  /** The VM's own data centre. */
  dataCentre: string;
  /** Members that failed a moment ago; tried last. */
  avoided: ReadonlySet<string>;
  nowMs: number;
  /** A number in [0, 1) that spreads reads over equal members. */
  random: number;
}

export default ReadState;
