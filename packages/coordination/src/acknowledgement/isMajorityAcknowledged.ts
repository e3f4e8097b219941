import type MemberStatus from './memberStatus';

const isHeldBy = (status: MemberStatus, term: number, position: number): boolean =>
  status.fencedTerm <= term && status.logTerm === term && status.position >= position;

/**
 * Whether a majority of the group's members holds the log up to `position` of `term`. A status
 * from a member fenced at a later term never counts.
 */
const isMajorityAcknowledged = (
  statuses: readonly MemberStatus[],
  memberCount: number,
  term: number,
  position: number,
): boolean => {
  const holders = new Set(
    statuses.filter((status) => isHeldBy(status, term, position)).map(({ member }) => member),
  );
  return holders.size > memberCount / 2;
};

export default isMajorityAcknowledged;
