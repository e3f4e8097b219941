import type GroupHolder from './groupHolder';

/** Members by the group's document that vote and may be primary. */
const activeMemberNames = (holder: GroupHolder): string[] => {
  const active = holder.group.members.filter(({ state }) => state === 'active');
  return (active.length > 0 ? active : holder.group.members).map(({ name }) => name);
};

export default activeMemberNames;
