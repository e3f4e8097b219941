import { createCallerService, proxyDefinition } from '@auburngrade/caller';
import {
  createConfigurationState,
  createWorkTracker,
  type StatementOutcome,
  type StatementRequest,
  type TransactionRequest,
} from '@auburngrade/coordination';
import { OperatorService, createOperatorService } from '@auburngrade/operator';
import { createEtcdPlatform } from '@auburngrade/platform';
import { PING_KIND, addPeerServices } from '@auburngrade/vm';
import type { Server, ServerCredentials } from '@grpc/grpc-js';
import createAdmission from '../admission/createAdmission';
import createAuthenticator from '../authentication/createAuthenticator';
import withKeyCheck from '../authentication/withKeyCheck';
import createConfigurationMetrics from '../configuration/createConfigurationMetrics';
import createConfigurationSpread from '../configuration/createConfigurationSpread';
import createDocumentWriter from '../configuration/createDocumentWriter';
import createReadExecutor from '../execution/createReadExecutor';
import createWriteExecutor from '../execution/createWriteExecutor';
import createGroupRegistry from '../groups/createGroupRegistry';
import createTermKeeper from '../groups/createTermKeeper';
import createVouching from '../keys/createVouching';
import createLogger from '../log/createLogger';
import createExchange from '../membership/createExchange';
import createMembership from '../membership/createMembership';
import type GroupHolder from '../groups/groupHolder';
import createMetrics from '../metrics/createMetrics';
import createFailoverMetrics from '../promotion/createFailoverMetrics';
import createPromotionService from '../promotion/createPromotionService';
import createPeerRegistry from '../routing/createPeerRegistry';
import createPrimaryWaiter from '../routing/createPrimaryWaiter';
import createRouter from '../routing/createRouter';
import createRoutingMetrics from '../routing/createRoutingMetrics';
import createCallerHandler from '../serving/createCallerHandler';
import createConfigurationWaiter from '../serving/createConfigurationWaiter';
import createOperatorHandler from '../serving/createOperatorHandler';
import createPeerHandler from '../serving/createPeerHandler';
import startGrpcServer from '../serving/startGrpcServer';
import startHttpServer from '../serving/startHttpServer';
import createSlotKeeper from '../slots/createSlotKeeper';
import createAddressBook from '../settings/createAddressBook';
import createLeavingNotices from '../shutdown/createLeavingNotices';
import drainWork from '../shutdown/drainWork';
import stopServer from '../shutdown/stopServer';
import loadTls from '../tls/loadTls';
import createKeyWatch from '../transactions/createKeyWatch';
import createLocalTransactions from '../transactions/createLocalTransactions';
import type Settings from '../settings/settings';
import limitHeap from './limitHeap';

/** Time for the last answers to leave once all work has ended. */
const SERVER_GRACE_MS = 500;
/** Statements up to this much over the limit get a refusal that names it. */
const MESSAGE_MARGIN_BYTES = 4_194_304;
const UNLIMITED = -1;

/** Starts a VM's daemon; resolves with the function that shuts it down. */
const startDaemon = async (settings: Settings): Promise<() => Promise<void>> => {
  const nowMs = (): number => performance.now();
  const logger = createLogger(settings);
  const tls = loadTls(settings, logger);
  const metrics = createMetrics();
  const configuration = createConfigurationState();
  const platform = createEtcdPlatform(settings.platform.address);
  const { timeoutMs } = settings.platform;
  const addresses = createAddressBook(settings);
  const peers = createPeerRegistry(configuration, addresses, tls.vmClients);
  const incarnation = Date.now();
  const exchange = createExchange(settings.vm, incarnation, peers);
  const vouching = createVouching({ settings, configuration, exchange, nowMs });
  const follower = createConfigurationSpread({
    settings,
    platform,
    configuration,
    addresses,
    vmCredentials: tls.vmClients,
    outageAgeMs: vouching.outageAgeMs,
    onOutage: vouching.hearOutage,
    nowMs,
    logger,
  });
  const slots = createSlotKeeper({
    vm: settings.vm,
    incarnation,
    platform,
    platformTimeoutMs: timeoutMs,
    configuration,
    completeAtMs: vouching.completeAtMs,
    announce: vouching.announce,
    exchange,
    logger,
    nowMs,
  });
  const membership = createMembership({
    vm: settings.vm,
    configuration,
    isOwnSlotUsable: slots.isUsable,
    nowMs,
  });
  const groups = createGroupRegistry(
    configuration,
    settings.vm,
    addresses,
    nowMs,
    settings.pools,
    slots.isUsable,
  );
  const terms = createTermKeeper(platform, configuration, timeoutMs, logger);
  const reads = createReadExecutor({
    ...settings,
    ...settings.reads,
    configuration,
    held: groups.held,
    nowMs,
  });
  const primaries = createPrimaryWaiter(configuration, nowMs);
  const writes = createWriteExecutor(settings.vm, nowMs);

  const work = createWorkTracker();
  const notices = createLeavingNotices({
    vm: settings.vm,
    incarnation,
    membership,
    peers,
    nowMs,
  });

  const promotions = createPromotionService({
    vm: settings.vm,
    incarnation,
    platform,
    platformTimeoutMs: timeoutMs,
    configuration,
    membership,
    groups,
    heldGroups: slots.describe,
    terms,
    peers,
    timings: settings.failover,
    metrics: createFailoverMetrics(metrics.registry),
    logger,
    nowMs,
  });

  const authenticator = createAuthenticator(configuration, vouching.isVouched);
  const loading = createConfigurationWaiter(configuration, nowMs);
  const holderOf = async (request: TransactionRequest): Promise<GroupHolder> => {
    await loading.wait(request.deadlineAtMs);
    const holder = groups.get(request.group);
    await terms.ensureRecord(holder);
    if (request.write) await primaries.wait(request.group, request.deadlineAtMs);
    return withKeyCheck(holder, () => authenticator.recheck(request.keyHash));
  };
  const transactions = createLocalTransactions({ vm: settings.vm, holderOf, reads, nowMs });

  const executeLocally = async (request: StatementRequest): Promise<StatementOutcome> => {
    const holder = await holderOf(request);
    const outcome = await (request.write ? writes : reads).execute(holder, request);
    const { role } = outcome.servedBy;
    const mode = request.write ? 'write' : 'read';
    metrics.served.inc({ group: request.group, role, mode });
    return outcome;
  };

  const router = createRouter({
    ...settings,
    membership,
    peers,
    hasGroup: (name) => configuration.get('group', name) !== undefined,
    leaving: notices.leaving,
    markLeaving: notices.add,
    executeLocally,
    beginLocally: transactions.begin,
    metrics: createRoutingMetrics(metrics.registry),
    nowMs,
  });
  const rates = createAdmission({
    settings,
    incarnation,
    configuration,
    platform,
    peers,
    send: exchange,
    vmCount: () => membership.live().length,
    confirmedAtMs: follower.confirmedAtMs,
    nowMs,
    logger,
  });
  const callerHandler = createCallerHandler({
    settings,
    authenticator,
    admission: rates.admission,
    execute: router.execute,
    begin: router.begin,
    enter: work.enter,
    awaitConfiguration: loading.wait,
    onKeysChanged: createKeyWatch(configuration),
    metrics,
    nowMs,
  });
  const operatorHandler = createOperatorHandler({
    configuration,
    writer: createDocumentWriter({ platform, timeoutMs, nowMs }),
    announceWithdrawal: vouching.announceWithdrawal,
    describe: () => ({
      vm: settings.vm,
      dataCentre: settings.dataCentre,
      revision: configuration.revision(),
      shares: rates.shares.describe(),
      lease: rates.leases.describe(),
      confirmedAgeMs: Math.round(nowMs() - follower.confirmedAtMs()),
      configuration: follower.describe(),
      areKeysVouched: vouching.isVouched(),
      outageAgeMs: vouching.outageAgeMs(),
      slots: slots.describe(),
      liveVms: membership.live().map(({ id }) => id),
      terms: Object.fromEntries(configuration.list('term')),
    }),
  });
  const peerHandler = createPeerHandler({
    vm: settings.vm,
    incarnation,
    executeLocally,
    openFollowSession: follower.openFollowSession,
    beginLocally: transactions.begin,
    enter: work.enter,
    messageHandlers: new Map<string, (fromVm: string, body: unknown) => Promise<unknown>>([
      ...rates.messageHandlers,
      ['suspicion', promotions.answerSuspicion],
      [notices.kind, notices.receive],
      ...vouching.messageHandlers,
      ...slots.messageHandlers,
      [PING_KIND, async () => ({})],
    ]),
    nowMs,
  });

  follower.start();
  vouching.start(follower);
  rates.start();
  createConfigurationMetrics(metrics.registry, {
    ...configuration,
    ...follower,
    areKeysVouched: vouching.isVouched,
    nowMs,
  });
  promotions.start();
  slots.start({ membership, groups, onHoldingChanged: promotions.updateRanksSoon });
  const http = startHttpServer(
    settings.host,
    settings.httpPort,
    metrics.registry,
    () => work.phase() === 'serving' && loading.isLoaded() && rates.leases.hasStood(),
  );
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
  limitHeap(settings);
  logger.info('daemon.started', { callerPort: settings.callerPort });

  return async () => {
    await drainWork({
      tracker: work,
      timings: settings.shutdown,
      announce: async () => {
        await Promise.all([notices.announce(), rates.shares.handOver()]);
      },
      abortAll: transactions.abortAll,
    });
    endFollowing();
    await Promise.all(servers.map((server) => stopServer(server, SERVER_GRACE_MS)));
    promotions.stop();
    await slots.stop();
    await rates.shares.handOver();
    rates.stop();
    follower.stop();
    vouching.stop();
    reads.close();
    groups.close();
    peers.close();
    platform.close();
    http.close();
    logger.info('daemon.stopped');
  };
};

export default startDaemon;
