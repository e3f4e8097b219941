import type MemberStatus from '../acknowledgement/memberStatus';
import type TermRecord from '../configuration/termRecord';
import findTermEndPosition from './findTermEndPosition';
import findLastActiveTerm from './findLastActiveTerm';

/**
 * Whether a member's log is a prefix of the group's history and stays one for every
 * statement that carries the record's term. A member fenced below the last active term may
 * still follow an old primary; one fenced above the record's term refuses the statement;
 * one whose log runs past the start of a later term has diverged.
 */
const isLogPrefixOfHistory = (status: MemberStatus, record: TermRecord): boolean => {
  if (status.fencedTerm > record.term) return false;
  if (status.fencedTerm < findLastActiveTerm(record)) return false;
  if (status.logTerm > findLastActiveTerm(record)) return false;
  return status.position <= findTermEndPosition(status.logTerm, record);
};

export default isLogPrefixOfHistory;
