import type { Group } from '@auburngrade/coordination';

/** Names of the active members, which vote and may be primary; of all if none is active. */
const activeMemberNames = ({ members }: Pick<Group, 'members'>): string[] => {
  const active = members.filter(({ state }) => state === 'active');
  return (active.length > 0 ? active : members).map(({ name }) => name);
};

export default activeMemberNames;
