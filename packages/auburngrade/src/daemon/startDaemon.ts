import { createConfigurationState, createWorkTracker } from '@auburngrade/coordination';
import { createEtcdPlatform } from '@auburngrade/platform';
import { PING_KIND } from '@auburngrade/vm';
import createAdmission from '../admission/createAdmission';
import createAuthenticator from '../authentication/createAuthenticator';
import createConfigurationMetrics from '../configuration/createConfigurationMetrics';
import createConfigurationSpread from '../configuration/createConfigurationSpread';
import createDocumentWriter from '../configuration/createDocumentWriter';
import createGroupRegistry from '../groups/createGroupRegistry';
import createTermKeeper from '../groups/createTermKeeper';
import createVouching from '../keys/createVouching';
import createLogger from '../log/createLogger';
import createExchange from '../membership/createExchange';
import createMembership from '../membership/createMembership';
import type MessageHandler from '../membership/messageHandler';
import createMetrics from '../metrics/createMetrics';
import createFailoverMetrics from '../promotion/createFailoverMetrics';
import createPromotionService from '../promotion/createPromotionService';
import createPeerRegistry from '../routing/createPeerRegistry';
import createCallerHandler from '../serving/createCallerHandler';
import createConfigurationWaiter from '../serving/createConfigurationWaiter';
import createOperatorHandler from '../serving/createOperatorHandler';
import createPeerHandler from '../serving/createPeerHandler';
import createSlotKeeper from '../slots/createSlotKeeper';
import createAddressBook from '../settings/createAddressBook';
import createLeavingNotices from '../shutdown/createLeavingNotices';
import drainWork from '../shutdown/drainWork';
import loadTls from '../tls/loadTls';
import createKeyWatch from '../transactions/createKeyWatch';
import type Settings from '../settings/settings';
import createStatementPath from './createStatementPath';
import limitHeap from './limitHeap';
import startServers from './startServers';

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
  const work = createWorkTracker();
  const notices = createLeavingNotices({
    vm: settings.vm,
    membership,
    send: exchange,
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
    send: exchange,
    timings: settings.failover,
    metrics: createFailoverMetrics(metrics.registry),
    logger,
    nowMs,
  });

  const authenticator = createAuthenticator(configuration, vouching.isVouched);
  const loading = createConfigurationWaiter(configuration, nowMs);
  const statements = createStatementPath({
    settings,
    configuration,
    groups,
    terms,
    membership,
    peers,
    notices,
    recheckKey: authenticator.recheck,
    awaitConfiguration: loading.wait,
    metrics,
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
    execute: statements.execute,
    begin: statements.begin,
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
    executeLocally: statements.executeLocally,
    openFollowSession: follower.openFollowSession,
    beginLocally: statements.beginLocally,
    enter: work.enter,
    messageHandlers: new Map<string, MessageHandler>([
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
  const servers = await startServers({
    settings,
    tls,
    registry: metrics.registry,
    isReady: () => work.phase() === 'serving' && loading.isLoaded() && rates.isReady(),
    callerHandler,
    peerHandler,
    operatorHandler,
  });
  limitHeap(settings);
  logger.info('daemon.started', { callerPort: settings.callerPort });

  return async () => {
    await drainWork({
      tracker: work,
      timings: settings.shutdown,
      announce: async () => {
        await Promise.all([notices.announce(), rates.shares.handOver()]);
      },
      abortAll: statements.abortTransactions,
    });
    await servers.stop();
    promotions.stop();
    await slots.stop();
    await rates.shares.handOver();
    rates.stop();
    follower.stop();
    vouching.stop();
    statements.close();
    groups.close();
    peers.close();
    platform.close();
    servers.closeHttp();
    logger.info('daemon.stopped');
  };
};

export default startDaemon;
