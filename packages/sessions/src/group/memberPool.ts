import type createMemberPool from './createMemberPool';

type MemberPool = ReturnType<typeof createMemberPool>;

export default MemberPool;
