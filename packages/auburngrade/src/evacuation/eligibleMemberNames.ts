import type { ConfigurationState, Group } from '@auburngrade/coordination';
import activeMemberNames from '../groups/activeMemberNames';
import listEvacuatedDataCentres from './listEvacuatedDataCentres';

/** Names of the members that may become primary: active, and outside all evacuated data centres. */
const eligibleMemberNames = (
  group: Pick<Group, 'members'>,
  configuration: Pick<ConfigurationState, 'list'>,
): string[] => {
  const evacuated = listEvacuatedDataCentres(configuration);
  const names = new Set(
    group.members.filter(({ dataCentre }) => !evacuated.has(dataCentre)).map(({ name }) => name),
  );
  return activeMemberNames(group).filter((name) => names.has(name));
};

export default eligibleMemberNames;
