import { decidePrimaryAccess, type ConfigurationState } from '@auburngrade/coordination';
import type GroupClient from '../groups/groupClient';
import type DataCentres from './dataCentres';
import listCandidates from './listCandidates';

/** Finds whether statements may go to a group's primary now; see `decidePrimaryAccess`. */
const findPrimaryAccess = (
  groupClient: Pick<GroupClient, 'group' | 'record' | 'views'>,
  configuration: Pick<ConfigurationState, 'list'>,
  { phaseOf }: Pick<DataCentres, 'phaseOf'>,
  nowMs: number,
): ReturnType<typeof decidePrimaryAccess> => {
  const { members } = groupClient.group;
  const record = groupClient.record();
  const primary = record?.state === 'active' ? record.primary : undefined;
  const primaryMember = members.find(({ name }) => name === primary);
  return decidePrimaryAccess({
    primaryPhase: primary === undefined ? undefined : phaseOf(primaryMember?.dataCentre ?? ''),
    memberPhases: members.map(({ dataCentre }) => phaseOf(dataCentre)),
    hasCandidate: () => listCandidates(groupClient, configuration, nowMs).length > 0,
  });
};

export default findPrimaryAccess;
