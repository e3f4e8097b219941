import { ProxyService, createCallerService } from '@auburngrade/caller';
import {
  createConfigurationState,
  type StatementOutcome,
  type StatementRequest,
} from '@auburngrade/coordination';
import { OperatorService, createOperatorService } from '@auburngrade/operator';
import { createEtcdPlatform } from '@auburngrade/platform';
import { addPeerServices } from '@auburngrade/vm';
import createAdmission from '../admission/createAdmission';
import createAuthenticator from '../authentication/createAuthenticator';
import createPlatformFollower from '../configuration/createPlatformFollower';
import createReadExecutor from '../execution/createReadExecutor';
import createWriteExecutor from '../execution/createWriteExecutor';
import createGroupRegistry from '../groups/createGroupRegistry';
import createTermKeeper from '../groups/createTermKeeper';
import createLogger from '../log/createLogger';
import createMembership from '../membership/createMembership';
import createMetrics from '../metrics/createMetrics';
import createPeerRegistry from '../routing/createPeerRegistry';
import createRouter from '../routing/createRouter';
import createCallerHandler from '../serving/createCallerHandler';
import createOperatorHandler from '../serving/createOperatorHandler';
import createPeerHandler from '../serving/createPeerHandler';
import startGrpcServer from '../serving/startGrpcServer';
import startHttpServer from '../serving/startHttpServer';
import createAddressBook from '../settings/createAddressBook';
import type Settings from '../settings/settings';

/** Starts a VM's daemon; resolves with the function that shuts it down. */
const startDaemon = async (settings: Settings): Promise<() => Promise<void>> => {
  const nowMs = (): number => performance.now();
  const logger = createLogger(settings);
  const metrics = createMetrics();
  const configuration = createConfigurationState();
  const platform = createEtcdPlatform(settings.platform.address);
  const { timeoutMs } = settings.platform;
  const follower = createPlatformFollower(platform, configuration, timeoutMs, logger);
  const addresses = createAddressBook(settings);
  const membership = createMembership(configuration);
  const groups = createGroupRegistry(configuration, settings.vm, addresses, nowMs);
  const terms = createTermKeeper(platform, configuration, timeoutMs, logger);
  const reads = createReadExecutor(settings.vm, nowMs);
  const writes = createWriteExecutor(settings.vm, nowMs);
  const peers = createPeerRegistry(configuration, addresses);

  const executeLocally = async (request: StatementRequest): Promise<StatementOutcome> => {
    const holder = groups.get(request.group);
    await terms.ensureRecord(holder);
    const outcome = await (request.write ? writes : reads).execute(holder, request);
    const { role } = outcome.servedBy;
    const mode = request.write ? 'write' : 'read';
    metrics.served.inc({ group: request.group, role, mode });
    return outcome;
  };

  const router = createRouter({ vm: settings.vm, membership, peers, executeLocally, nowMs });
  const incarnation = Date.now();
  const { admission, shares } = createAdmission({
    settings,
    incarnation,
    configuration,
    platform,
    peers,
    vmCount: () => membership.live().length,
    confirmedAtMs: follower.confirmedAtMs,
    nowMs,
    logger,
  });
  const callerHandler = createCallerHandler({
    settings,
    authenticator: createAuthenticator(configuration),
    admission,
    execute: router.execute,
    metrics,
    nowMs,
  });
  const operatorHandler = createOperatorHandler({
    platform,
    configuration,
    timeoutMs,
    describe: () => ({
      vm: settings.vm,
      dataCentre: settings.dataCentre,
      revision: configuration.revision(),
      shares: shares.describe(),
      confirmedAgeMs: Math.round(nowMs() - follower.confirmedAtMs()),
      liveVms: membership.live().map(({ id }) => id),
      terms: Object.fromEntries(configuration.list('term')),
    }),
  });
  const peerHandler = createPeerHandler({
    vm: settings.vm,
    incarnation,
    executeLocally,
    messageHandlers: new Map(shares.handlers),
    nowMs,
  });

  follower.start();
  const http = startHttpServer(settings.host, settings.httpPort, metrics.registry, () => true);
  const servers = await Promise.all([
    startGrpcServer(`${settings.host}:${settings.callerPort}`, (server) => {
      server.addService(ProxyService, createCallerService(callerHandler));
    }),
    startGrpcServer(`${settings.host}:${settings.vmPort}`, (server) => {
      addPeerServices(server, peerHandler);
    }),
    startGrpcServer(`${settings.host}:${settings.operatorPort}`, (server) => {
      server.addService(OperatorService, createOperatorService(operatorHandler));
    }),
  ]);
  logger.info('daemon.started', { callerPort: settings.callerPort });

  return async () => {
    await Promise.all(
      servers.map(
        (server) =>
          new Promise<void>((resolve) => {
            server.tryShutdown(() => resolve());
          }),
      ),
    );
    await shares.handOver();
    shares.stop();
    follower.stop();
    groups.close();
    peers.close();
    platform.close();
    http.close();
    logger.info('daemon.stopped');
  };
};

export default startDaemon;
