import type MemberStatus from '../acknowledgement/memberStatus';

type LogEnd = Pick<MemberStatus, 'logTerm' | 'position'>;

/** Orders two logs by the term of their last entry, then by length: positive when `a` is more advanced. */
const compareLogs = (a: LogEnd, b: LogEnd): number =>
  a.logTerm === b.logTerm ? a.position - b.position : a.logTerm - b.logTerm;

export default compareLogs;
