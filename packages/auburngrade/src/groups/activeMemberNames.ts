import type { Group } from '@auburngrade/coordination';

/** Members by the group's document that vote and may be primary. */
const activeMemberNames = ({ members }: Pick<Group, 'members'>): string[] => {
  const active = members.filter(({ state }) => state === 'active');
  return (active.length > 0 ? active : members).map(({ name }) => name);
};

export default activeMemberNames;
