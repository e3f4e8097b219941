import type createGroupRegistry from './createGroupRegistry';

/** The groups whose connections this VM holds. */
type GroupRegistry = ReturnType<typeof createGroupRegistry>;

export default GroupRegistry;
