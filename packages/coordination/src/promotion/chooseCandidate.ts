import type MemberStatus from '../acknowledgement/memberStatus';
import compareLogs from './compareLogs';

/**
 * Chooses the member to promote among members fenced at the new term; `undefined` if none
 * is safe. Its log must be at least as up to date as the logs of a majority of the voters:
 * a majority holds every acknowledged write, so such a log contains it. Of those the most
 * advanced log wins, then the order of `eligible`.
 */
const chooseCandidate = (
  fencedStatuses: readonly MemberStatus[],
  voters: readonly string[],
  eligible: readonly string[],
): MemberStatus | undefined => {
  const fencedVoterStatuses = fencedStatuses.filter(({ member }) => voters.includes(member));
  const holdsAcknowledgedWrites = (candidate: MemberStatus): boolean =>
    fencedVoterStatuses.filter((voter) => compareLogs(candidate, voter) >= 0).length >
    voters.length / 2;
  return eligible
    .flatMap((name) => fencedStatuses.find(({ member }) => member === name) ?? [])
    .filter(holdsAcknowledgedWrites)
    .reduce<MemberStatus | undefined>(
      (best, candidate) => (best && compareLogs(best, candidate) >= 0 ? best : candidate),
      undefined,
    );
};

export default chooseCandidate;
