import type MemberStatus from '../acknowledgement/memberStatus';
import type TermRecord from '../configuration/termRecord';
import earliestLaterStart from './earliestLaterStart';
import servingTerm from './servingTerm';

/**
 * Whether a member's log is a prefix of the group's history and stays one for every
 * statement that carries the record's term. A member fenced below the serving term may
 * still follow an old primary; one fenced above the record's term refuses the statement;
 * one whose log runs past the start of a later term has diverged.
 */
const isInHistory = (status: MemberStatus, record: TermRecord): boolean => {
  if (status.fencedTerm > record.term) return false;
  if (status.fencedTerm < servingTerm(record)) return false;
  if (status.logTerm > servingTerm(record)) return false;
  return status.position <= earliestLaterStart(status.logTerm, record);
};

export default isInHistory;
