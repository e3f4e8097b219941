export { default as PeerHandler } from './peerHandler';
export { default as addPeerServices } from './addPeerServices';
export { default as createPeerClient } from './createPeerClient';
export { default as isNotSentError } from './isNotSentError';
export { default as PING_KIND } from './pingKind';
export { default as createFollowClient } from './createFollowClient';
export type { default as FollowSession } from './followSession';
export type { default as RemoteVm } from './remoteVm';
export * from './generated/auburngrade/vm/v1/vm';
