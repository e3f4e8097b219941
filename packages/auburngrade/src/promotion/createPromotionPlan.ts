import type { PromotionPlan, TermRecord } from '@auburngrade/coordination';
import activeMemberNames from '../groups/activeMemberNames';
import type GroupClient from '../groups/groupClient';
import type PromotionReason from './promotionReason';

/** Plans one promotion attempt under a term above the record's and every fence seen so far. */
const createPromotionPlan = (
  groupClient: GroupClient,
  record: TermRecord,
  revision: number,
  promoter: string,
  reason: PromotionReason,
): PromotionPlan => {
  const fencedTerms = groupClient.statuses().map(({ fencedTerm }) => fencedTerm);
  const members = activeMemberNames(groupClient.group);
  const isPrimaryKept = reason === 'members' && record.primary !== undefined;
  return {
    promoter,
    term: Math.max(record.term, ...fencedTerms) + 1,
    base: record,
    baseRevision: revision,
    voters: [...groupClient.voters()],
    members,
    eligible: isPrimaryKept
      ? members.toSorted((a, b) => Number(b === record.primary) - Number(a === record.primary))
      : members,
    avoided: isPrimaryKept ? undefined : record.primary,
    isPlanned: reason === 'leaving',
  };
};

export default createPromotionPlan;
