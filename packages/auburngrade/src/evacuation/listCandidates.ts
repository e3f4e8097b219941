import type { ConfigurationState, MemberView } from '@auburngrade/coordination';
import type GroupClient from '../groups/groupClient';
import eligibleMemberNames from './eligibleMemberNames';

/** Longer than a poll and its first retries take, so that one lost answer does not count. */
const MAX_SILENCE_MS = 1_500;

/** The members that may become primary and answer status polls. */
const listCandidates = (
  groupClient: Pick<GroupClient, 'group' | 'views'>,
  configuration: Pick<ConfigurationState, 'list'>,
  nowMs: number,
): MemberView[] => {
  const eligible = eligibleMemberNames(groupClient.group, configuration);
  return groupClient
    .views()
    .filter(({ member }) => eligible.includes(member))
    .filter(({ unansweredSinceMs }) => nowMs - (unansweredSinceMs ?? nowMs) < MAX_SILENCE_MS);
};

export default listCandidates;
