import type Group from './group';

/** One endpoint of a database group. */
type Member = Group['members'][number];

export default Member;
