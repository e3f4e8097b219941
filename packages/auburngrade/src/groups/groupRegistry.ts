import type createGroupRegistry from './createGroupRegistry';

/** Clients of the groups to which this VM may have connections. */
type GroupRegistry = ReturnType<typeof createGroupRegistry>;

export default GroupRegistry;
