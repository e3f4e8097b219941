import type MemberStatus from './memberStatus';

const holds = (status: MemberStatus, term: number, position: number): boolean =>
  status.fencedTerm <= term && status.logTerm === term && status.position >= position;

/**
 * Whether a majority of the group's members hold `position` of `term`. An answer
 * from a member fenced at a later term never counts.
 */
const isMajorityAcknowledged = (
  statuses: readonly MemberStatus[],
  memberCount: number,
  term: number,
  position: number,
): boolean => {
  const holders = new Set(
    statuses.filter((status) => holds(status, term, position)).map(({ member }) => member),
  );
  return holders.size > memberCount / 2;
};

export default isMajorityAcknowledged;
