import type { PromotionPlan, TermRecord } from '@auburngrade/coordination';
import activeMemberNames from '../groups/activeMemberNames';
import type GroupHolder from '../groups/groupHolder';
import type PromotionReason from './promotionReason';

/** Prepares one promotion attempt. */
const createPlan = (
  holder: GroupHolder,
  record: TermRecord,
  revision: number,
  promoter: string,
  reason: PromotionReason,
): PromotionPlan => {
  const fences = holder.statuses().map(({ fencedTerm }) => fencedTerm);
  const members = activeMemberNames(holder.group);
  const isKept = reason === 'members' && record.primary !== undefined;
  return {
    promoter,
    term: Math.max(record.term, ...fences) + 1,
    base: record,
    baseRevision: revision,
    voters: [...holder.voters()],
    members,
    eligible: isKept
      ? members.toSorted((a, b) => Number(b === record.primary) - Number(a === record.primary))
      : members,
    avoided: isKept ? undefined : record.primary,
    isPlanned: reason === 'leaving',
  };
};

export default createPlan;
