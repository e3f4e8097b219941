import type createGroupClient from './createGroupClient';

/** Client of one database group, kept while this VM holds a slot of it. */
type GroupClient = ReturnType<typeof createGroupClient>;

export default GroupClient;
