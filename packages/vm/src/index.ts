export { default as PeerHandler } from './peerHandler';
export { default as addPeerServices } from './addPeerServices';
export { default as createPeerClient } from './createPeerClient';
export { default as isNeverSent } from './isNeverSent';
export type { default as RemoteVm } from './remoteVm';
export * from './generated/auburngrade/vm/v1/vm';
