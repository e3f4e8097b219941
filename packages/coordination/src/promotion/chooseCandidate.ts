import type MemberStatus from '../acknowledgement/memberStatus';
import compareLogs from './compareLogs';

/**
 * Chooses the member to promote among members fenced at the new term. Its log must
 * be at least as long as the logs of a majority of the voters: an acknowledged write
 * is held by a majority, so such a log contains it. Of those the longest log wins,
 * then the order of `eligible`.
 */
const chooseCandidate = (
  fenced: readonly MemberStatus[],
  voters: readonly string[],
  eligible: readonly string[],
): MemberStatus | undefined => {
  const fencedVoters = fenced.filter(({ member }) => voters.includes(member));
  const isSafe = (candidate: MemberStatus): boolean =>
    fencedVoters.filter((voter) => compareLogs(candidate, voter) >= 0).length > voters.length / 2;
  return eligible
    .flatMap((name) => fenced.find(({ member }) => member === name) ?? [])
    .filter(isSafe)
    .reduce<MemberStatus | undefined>(
      (best, candidate) => (best && compareLogs(best, candidate) >= 0 ? best : candidate),
      undefined,
    );
};

export default chooseCandidate;
