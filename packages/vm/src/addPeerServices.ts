import { serveSteps } from '@auburngrade/coordination';
import type { Server } from '@grpc/grpc-js';
import {
  ConfigurationService,
  ForwardService,
  PeerService,
  type ConfigurationServer,
  type ForwardServer,
  type PeerServer,
} from './generated/auburngrade/vm/v1/vm';
import type PeerHandler from './peerHandler';

/** Registers the services that VMs offer each other. */
const addPeerServices = (server: Server, handler: PeerHandler): void => {
  const forward: ForwardServer = {
    execute: (call, callback) => {
      handler.execute(call.request).then((outcome) => callback(null, outcome), callback);
    },
    transact: (stream) => serveSteps(stream, handler.openTransaction()),
  };
  const configuration: ConfigurationServer = {
    follow: (stream) => {
      const stop = handler.follow(stream.request, (update) => stream.write(update));
      stream.on('cancelled', stop);
      stream.on('error', stop);
      stream.on('close', stop);
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
};

export default addPeerServices;
