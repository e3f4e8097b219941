import type createGroupHolder from './createGroupHolder';

/** What a VM that holds a slot of a database group keeps. */
type GroupHolder = ReturnType<typeof createGroupHolder>;

export default GroupHolder;
