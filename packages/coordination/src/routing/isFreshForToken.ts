import type MemberStatus from '../acknowledgement/memberStatus';
import type TermRecord from '../configuration/termRecord';

interface TokenEntry {
  term: number;
  position: number;
}

const requiredPosition = (entry: TokenEntry, record: TermRecord): number => {
  const next = record.history.find(({ term }) => term > entry.term);
  return next ? Math.min(entry.position, next.startPosition) : entry.position;
};

/**
 * Whether a member has applied all that a session wrote. A position of an earlier
 * term is bounded by the start of the term that followed it: what lies beyond was
 * never acknowledged.
 */
const isFreshForToken = (
  status: MemberStatus,
  entry: TokenEntry | undefined,
  record: TermRecord,
): boolean => {
  if (status.logTerm > record.term) return false;
  if (!entry) return true;
  if (entry.term > record.term) return false;
  if (status.logTerm < entry.term) return false;
  return status.position >= requiredPosition(entry, record);
};

export default isFreshForToken;
