import type MemberStatus from '../acknowledgement/memberStatus';
import type TermRecord from '../configuration/termRecord';
import type SessionToken from '../session/sessionToken';
import findTermEndPosition from './findTermEndPosition';
import isLogPrefixOfHistory from './isLogPrefixOfHistory';
import findLastActiveTerm from './findLastActiveTerm';

/**
 * Whether a member has applied every write of a session. A token position of an earlier
 * term is capped at the start of the next term: log entries beyond that were never
 * acknowledged. Without a token entry, any log on the group's history is fresh.
 */
const isFreshForToken = (
  status: MemberStatus,
  entry: SessionToken[string] | undefined,
  record: TermRecord,
): boolean => {
  if (!isLogPrefixOfHistory(status, record)) return false;
  if (!entry) return true;
  if (entry.term > findLastActiveTerm(record)) return false;
  const requiredPosition = Math.min(entry.position, findTermEndPosition(entry.term, record));
  return status.position >= requiredPosition;
};

export default isFreshForToken;
