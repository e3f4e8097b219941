import type TermRecord from '../configuration/termRecord';
import compareLogs from '../promotion/compareLogs';
import type MemberView from '../promotion/memberView';

const isSameSet = (a: readonly string[], b: readonly string[]): boolean =>
  a.length === b.length && a.every((name) => b.includes(name));

/**
 * Whether nothing is under way in a group: the primary is agreed, the voters are the members
 * of the operators' document, and each member answers, has the role and term that the record
 * gives it, and holds the same log.
 */
const isGroupSettled = (
  record: TermRecord | undefined,
  activeMembers: readonly string[],
  views: readonly MemberView[],
): boolean => {
  if (record?.state !== 'active') return false;
  const primary = views.find(({ member }) => member === record.primary)?.status;
  const voters = record.voters ?? views.map(({ member }) => member);
  if (!primary || !isSameSet(voters, activeMembers)) return false;
  return views.every(({ member, status, unansweredSinceMs }) => {
    if (!status || unansweredSinceMs !== undefined) return false;
    const hasRole = (status.role === 'primary') === (member === record.primary);
    return hasRole && status.fencedTerm === record.term && compareLogs(status, primary) === 0;
  });
};

export default isGroupSettled;
