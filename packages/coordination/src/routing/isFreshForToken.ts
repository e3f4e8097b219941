import type MemberStatus from '../acknowledgement/memberStatus';
import type TermRecord from '../configuration/termRecord';
import type SessionToken from '../session/sessionToken';
import earliestLaterStart from './earliestLaterStart';
import isInHistory from './isInHistory';
import servingTerm from './servingTerm';

/**
 * Whether a member has applied all that a session wrote. A position of an earlier
 * term is bounded by the start of the terms that followed it: what lies beyond was
 * never acknowledged.
 */
const isFreshForToken = (
  status: MemberStatus,
  entry: SessionToken[string] | undefined,
  record: TermRecord,
): boolean => {
  if (!isInHistory(status, record)) return false;
  if (!entry) return true;
  if (entry.term > servingTerm(record)) return false;
  const required = Math.min(entry.position, earliestLaterStart(entry.term, record));
  return status.position >= required;
};

export default isFreshForToken;
