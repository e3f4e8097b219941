import type { ConfigurationState, MemberView, TermRecord } from '@auburngrade/coordination';
import eligibleMemberNames from '../evacuation/eligibleMemberNames';
import listCandidates from '../evacuation/listCandidates';
import activeMemberNames from '../groups/activeMemberNames';
import type GroupClient from '../groups/groupClient';
import type PromotionReason from './promotionReason';

const MAX_CATCH_UP_ENTRIES = 1_000;

const isCaughtUp = (view: MemberView | undefined, primary: MemberView | undefined): boolean =>
  view?.status !== undefined &&
  primary?.status !== undefined &&
  view.status.logTerm === primary.status.logTerm &&
  view.status.position >= primary.status.position - MAX_CATCH_UP_ENTRIES;

/**
 * Returns why the configuration requires a change of primary or voters, if it does. A member that
 * is to replace a primary in an evacuated data centre, and added voters, must first be close to
 * the primary's log position.
 */
const findPlannedChangeReason = (
  groupClient: GroupClient,
  configuration: Pick<ConfigurationState, 'list'>,
  record: TermRecord,
  nowMs: number,
): PromotionReason | undefined => {
  const activeNames = activeMemberNames(groupClient.group);
  const eligibleNames = eligibleMemberNames(groupClient.group, configuration);
  const views = groupClient.views();
  const primary = views.find(({ member }) => member === record.primary);
  if (record.primary !== undefined && !activeNames.includes(record.primary))
    return eligibleNames.length > 0 ? 'leaving' : undefined;
  const isEvacuated = record.primary !== undefined && !eligibleNames.includes(record.primary);
  const candidates = isEvacuated ? listCandidates(groupClient, configuration, nowMs) : [];
  if (candidates.some((candidate) => isCaughtUp(candidate, primary))) return 'evacuated';
  const voters = groupClient.voters();
  const addedNames = activeNames.filter((name) => !voters.includes(name));
  const hasVoterChanges =
    addedNames.length > 0 || voters.some((name) => !activeNames.includes(name));
  const areAddedCaughtUp = addedNames.every((name) =>
    isCaughtUp(
      views.find(({ member }) => member === name),
      primary,
    ),
  );
  return hasVoterChanges && areAddedCaughtUp ? 'members' : undefined;
};

export default findPlannedChangeReason;
