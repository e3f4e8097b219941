import type { MemberView, TermRecord } from '@auburngrade/coordination';
import activeMemberNames from '../groups/activeMemberNames';
import type GroupHolder from '../groups/groupHolder';
import type PromotionReason from './promotionReason';

const MAX_CATCH_UP_ENTRIES = 1_000;

const isCaughtUp = (view: MemberView | undefined, primary: MemberView | undefined): boolean =>
  view?.status !== undefined &&
  primary?.status !== undefined &&
  view.status.logTerm === primary.status.logTerm &&
  view.status.position >= primary.status.position - MAX_CATCH_UP_ENTRIES;

/** Why the operators' document asks for a change of primary or of voters, if it does. */
const plannedReason = (holder: GroupHolder, record: TermRecord): PromotionReason | undefined => {
  const active = activeMemberNames(holder.group);
  const views = holder.views();
  const primary = views.find(({ member }) => member === record.primary);
  if (record.primary !== undefined && !active.includes(record.primary)) return 'leaving';
  const voters = holder.voters();
  const added = active.filter((name) => !voters.includes(name));
  const isChanged = added.length > 0 || voters.some((name) => !active.includes(name));
  const isReady = added.every((name) =>
    isCaughtUp(
      views.find(({ member }) => member === name),
      primary,
    ),
  );
  return isChanged && isReady ? 'members' : undefined;
};

export default plannedReason;
