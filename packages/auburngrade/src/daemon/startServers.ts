import {
  createCallerService,
  proxyServiceDefinition,
  type CallerHandler,
} from '@auburngrade/caller';
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

/** Time for the last replies to be sent after all work has ended. */
const SERVER_STOP_GRACE_MS = 500;
/** Statements over the limit by up to this much still reach the check, whose refusal names the limit. */
const MESSAGE_MARGIN_BYTES = 4_194_304;
const UNLIMITED_MESSAGE_BYTES = -1;

/** Starts the gRPC and HTTP servers of a daemon. */
const startServers = async (options: ServersOptions) => {
  const { settings, tls, callerHandler, peerHandler, operatorHandler } = options;
  const httpServer = startHttpServer(
    settings.host,
    settings.httpPort,
    options.registry,
    options.isReady,
  );
  const listen = (
    port: number,
    credentials: ServerCredentials,
    register: (to: Server) => void,
    limits?: Parameters<typeof startGrpcServer>[3],
  ) => startGrpcServer(`${settings.host}:${port}`, register, credentials, limits);
  let endFollowSessions = (): void => {};
  const servers = await Promise.all([
    listen(
      settings.callerPort,
      tls.callers,
      (server) => server.addService(proxyServiceDefinition, createCallerService(callerHandler)),
      {
        maxMessageBytes: settings.requests.maxStatementBytes + MESSAGE_MARGIN_BYTES,
        maxStreams: settings.callers.maxStreamsPerConnection,
      },
    ),
    listen(
      settings.vmPort,
      tls.vms,
      (server) => {
        endFollowSessions = addPeerServices(server, peerHandler);
      },
      { maxMessageBytes: UNLIMITED_MESSAGE_BYTES },
    ),
    listen(settings.operatorPort, tls.operators, (server) => {
      server.addService(OperatorService, createOperatorService(operatorHandler));
    }),
  ]);

  return {
    /** Stops the gRPC servers once their last replies are sent; metrics and health stay available. */
    stop: async (): Promise<void> => {
      endFollowSessions();
      await Promise.all(servers.map((server) => stopServer(server, SERVER_STOP_GRACE_MS)));
    },
    closeHttp: (): void => {
      httpServer.close();
    },
  };
};

export default startServers;
