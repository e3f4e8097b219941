import type createGroupHolder from './createGroupHolder';

/** Client of one database group, kept while this VM holds a slot of it. */
type GroupHolder = ReturnType<typeof createGroupHolder>;

export default GroupHolder;
