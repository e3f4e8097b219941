import { createCallerService, proxyDefinition, type CallerHandler } from '@auburngrade/caller';
import {
  OperatorService,
  createOperatorService,
  type OperatorHandler,
} from '@auburngrade/operator';
import { addPeerServices, type PeerHandler } from '@auburngrade/vm';
import type { Server, ServerCredentials } from '@grpc/grpc-js';
import type { Registry } from 'prom-client';
import startGrpcServer from '../serving/startGrpcServer';
import startHttpServer from '../serving/startHttpServer';
import type Settings from '../settings/settings';
import stopServer from '../shutdown/stopServer';
import type loadTls from '../tls/loadTls';

interface ServersOptions {
  settings: Settings;
  tls: ReturnType<typeof loadTls>;
  registry: Registry;
  isReady(): boolean;
  callerHandler: CallerHandler;
  peerHandler: PeerHandler;
  operatorHandler: OperatorHandler;
}

/** Time for the last answers to leave once all work has ended. */
const SERVER_GRACE_MS = 500;
/** Statements up to this much over the limit get a refusal that names it. */
const MESSAGE_MARGIN_BYTES = 4_194_304;
const UNLIMITED = -1;

/** Opens the ports of a daemon. */
const startServers = async (options: ServersOptions) => {
  const { settings, tls, callerHandler, peerHandler, operatorHandler } = options;
  const http = startHttpServer(settings.host, settings.httpPort, options.registry, options.isReady);
  const listen = (
    port: number,
    credentials: ServerCredentials,
    register: (to: Server) => void,
    maxMessageBytes?: number,
  ) => startGrpcServer(`${settings.host}:${port}`, register, credentials, maxMessageBytes);
  let endFollowing = (): void => {};
  const servers = await Promise.all([
    listen(
      settings.callerPort,
      tls.callers,
      (server) => server.addService(proxyDefinition, createCallerService(callerHandler)),
      settings.requests.maxStatementBytes + MESSAGE_MARGIN_BYTES,
    ),
    listen(
      settings.vmPort,
      tls.vms,
      (server) => {
        endFollowing = addPeerServices(server, peerHandler);
      },
      UNLIMITED,
    ),
    listen(settings.operatorPort, tls.operators, (server) => {
      server.addService(OperatorService, createOperatorService(operatorHandler));
    }),
  ]);

  return {
    /** Closes all ports but the one for metrics and health, once their last answers have left. */
    stop: async (): Promise<void> => {
      endFollowing();
      await Promise.all(servers.map((server) => stopServer(server, SERVER_GRACE_MS)));
    },
    closeHttp: (): void => {
      http.close();
    },
  };
};

export default startServers;
