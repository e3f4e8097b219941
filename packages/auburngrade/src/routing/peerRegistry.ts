import type createPeerRegistry from './createPeerRegistry';

/** Clients of other VMs. */
type PeerRegistry = ReturnType<typeof createPeerRegistry>;

export default PeerRegistry;
