import type { Fleet } from '@auburngrade/testkit';

/** The running member of a group that takes writes, by the highest term. */
const primaryOf = async (fleet: Fleet, group: string) => {
  const members = fleet.members.filter((member) => member.group === group);
  const states = await Promise.all(
    members.map(async (member) => ({
      member,
      state: await member.state().catch(() => undefined),
    })),
  );
  return states
    .flatMap(({ member, state }) => (state?.role === 'primary' ? [{ member, state }] : []))
    .sort((a, b) => b.state.fencedTerm - a.state.fencedTerm)[0];
};

export default primaryOf;
