import { serveSteps } from '@auburngrade/coordination';
import type { Server } from '@grpc/grpc-js';
import {
  ConfigurationService,
  ForwardService,
  PeerService,
  type ConfigurationServer,
  type FollowRequest,
  type ForwardServer,
  type PeerServer,
} from './generated/auburngrade/vm/v1/vm';
import type PeerHandler from './peerHandler';

/** Unsent updates at which a slow follower is disconnected; it resumes from its revision. */
const MAX_UNSENT_UPDATES = 1_000;

/**
 * Registers the services that VMs offer each other. Returns a function that ends the configuration
 * streams, which never end by themselves and would block a graceful shutdown.
 */
const addPeerServices = (server: Server, handler: PeerHandler): (() => void) => {
  const followStreams = new Set<{ end(): void }>();
  const forward: ForwardServer = {
    execute: (call, callback) => {
      handler.execute(call.request).then((outcome) => callback(null, outcome), callback);
    },
    transact: (stream) => serveSteps(stream, handler.openTransaction()),
  };
  const configuration: ConfigurationServer = {
    follow: (stream) => {
      const session = handler.follow((update) => {
        if (stream.writableLength > MAX_UNSENT_UPDATES) stream.destroy();
        else stream.write(update);
      });
      const close = (): void => {
        followStreams.delete(stream);
        session.close();
      };
      followStreams.add(stream);
      stream.on('data', (request: FollowRequest) => session.onRequest(request));
      stream.on('end', () => stream.end());
      ['cancelled', 'error', 'close'].forEach((event) => stream.on(event, close));
    },
  };
  const peer: PeerServer = {
    exchange: (call, callback) => {
      handler.exchange(call.request).then((reply) => callback(null, reply), callback);
    },
  };
  server.addService(ForwardService, forward);
  server.addService(ConfigurationService, configuration);
  server.addService(PeerService, peer);
  return () => followStreams.forEach((stream) => stream.end());
};

export default addPeerServices;
