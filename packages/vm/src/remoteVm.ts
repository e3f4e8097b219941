import type createPeerClient from './createPeerClient';

/** Another VM as this one calls it. */
type RemoteVm = ReturnType<typeof createPeerClient>;

export default RemoteVm;
