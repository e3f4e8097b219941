import type createMember from './createMember';

/** One stand-in member. */
type Member = ReturnType<typeof createMember>;

export default Member;
