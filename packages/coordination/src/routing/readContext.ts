import type MemberStatus from '../acknowledgement/memberStatus';
import type Member from '../configuration/member';
import type Profile from '../configuration/profile';
import type TermRecord from '../configuration/termRecord';
import type Watermark from '../freshness/watermark';
import type SessionToken from '../session/sessionToken';

/** Input of `chooseEndpoint`: what this VM knows about a group when it routes a read. */
interface ReadContext {
  /** The group's term record as this VM knows it. */
  record: TermRecord;
  members: readonly Pick<Member, 'name' | 'dataCentre' | 'state'>[];
  statuses: readonly MemberStatus[];
  watermarks: readonly Watermark[];
  /** The term and log position that the session has written in the group, if any. */
  sessionPosition: SessionToken[string] | undefined;
  freshness: Profile['freshness'];
  /** Replicas that lag behind the primary by more log positions are not chosen. */
  maxLagPositions: number;
  /** The data centre of this VM. */
  dataCentre: string;
  /** Members that failed recently; they are tried last. */
  avoided: ReadonlySet<string>;
  /** Members there are not chosen. */
  evacuatedDataCentres: ReadonlySet<string>;
  nowMs: number;
  /** Random number in [0, 1); spreads reads over members of equal rank. */
  random: number;
}

export default ReadContext;
