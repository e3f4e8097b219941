import type { ConfigurationState, PromotionPlan, TermRecord } from '@auburngrade/coordination';
import eligibleMemberNames from '../evacuation/eligibleMemberNames';
import activeMemberNames from '../groups/activeMemberNames';
import type GroupClient from '../groups/groupClient';
import type PromotionReason from './promotionReason';

/** Plans one promotion attempt under a term above the record's and every fence seen so far. */
const createPromotionPlan = (
  groupClient: GroupClient,
  configuration: Pick<ConfigurationState, 'list'>,
  record: TermRecord,
  revision: number,
  promoter: string,
  reason: PromotionReason,
): PromotionPlan => {
  const fencedTerms = groupClient.statuses().map(({ fencedTerm }) => fencedTerm);
  const members = activeMemberNames(groupClient.group);
  const keptPrimary = reason === 'members' ? record.primary : undefined;
  const eligible = eligibleMemberNames(groupClient.group, configuration);
  return {
    promoter,
    term: Math.max(record.term, ...fencedTerms) + 1,
    base: record,
    baseRevision: revision,
    voters: [...groupClient.voters()],
    members,
    eligible:
      keptPrimary === undefined
        ? eligible
        : [...new Set([keptPrimary, ...eligible])].filter((name) => members.includes(name)),
    avoided: keptPrimary === undefined ? record.primary : undefined,
    isPlanned: reason === 'leaving' || reason === 'evacuated',
  };
};

export default createPromotionPlan;
