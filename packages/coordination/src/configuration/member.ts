import type Group from './group';

/** A member of a database group: one of its endpoints. */
type Member = Group['members'][number];

export default Member;
