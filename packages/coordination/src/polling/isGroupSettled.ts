import type TermRecord from '../configuration/termRecord';
import compareLogs from '../promotion/compareLogs';
import type MemberView from '../promotion/memberView';

const isSameSet = (a: readonly string[], b: readonly string[]): boolean =>
  a.length === b.length && a.every((name) => b.includes(name));

/**
 * Whether a group has no change in progress: its term record is active, the voters are the
 * active members of the group's document, and each member answers, has the role and the term
 * of the record, and has the same log as the primary.
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
