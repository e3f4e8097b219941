import type createPeerClient from './createPeerClient';

/** Client of another VM. */
type RemoteVm = ReturnType<typeof createPeerClient>;

export default RemoteVm;
