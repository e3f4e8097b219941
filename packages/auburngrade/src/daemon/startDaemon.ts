import { createConfigurationState, createWorkTracker } from '@auburngrade/coordination';
import { createEtcdConfigurationStore } from '@auburngrade/platform';
import { PING_KIND } from '@auburngrade/vm';
import createAdmission from '../admission/createAdmission';
import createAuthenticator from '../authentication/createAuthenticator';
import createConfigurationMetrics from '../configuration/createConfigurationMetrics';
import createConfigurationDistribution from '../configuration/createConfigurationDistribution';
import createDocumentWriter from '../configuration/createDocumentWriter';
import createDataCentres from '../evacuation/createDataCentres';
import createGroupRegistry from '../groups/createGroupRegistry';
import createTermRecordInitializer from '../groups/createTermRecordInitializer';
import createKeyFreshness from '../keys/createKeyFreshness';
import createLogger from '../log/createLogger';
import createMessageSender from '../membership/createMessageSender';
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
import createSlotController from '../slots/createSlotController';
import createAddressBook from '../settings/createAddressBook';
import createLeavingNotices from '../shutdown/createLeavingNotices';
import drainWork from '../shutdown/drainWork';
import loadTls from '../tls/loadTls';
import createKeyRecheckScheduler from '../transactions/createKeyRecheckScheduler';
import type Settings from '../settings/settings';
import createStatementService from './createStatementService';
import limitHeap from './limitHeap';
import startServers from './startServers';

/**
 * Starts a VM's daemon; resolves with a function that drains work and shuts the daemon down, given
 * the time of the signal to stop.
 */
const startDaemon = async (
  settings: Settings,
  nowMs: () => number,
): Promise<(signalledAtMs: number) => Promise<void>> => {
  const logger = createLogger(settings);
  const tls = loadTls(settings, logger);
  const metrics = createMetrics();
  const configuration = createConfigurationState();
  const dataCentres = createDataCentres({
    configuration,
    drainTimeoutMs: settings.evacuation.drainTimeoutMs,
    registry: metrics.registry,
    logger,
    nowMs,
  });
  const platform = createEtcdConfigurationStore(settings.platform.address);
  const { timeoutMs } = settings.platform;
  const addresses = createAddressBook(settings);
  const peerRegistry = createPeerRegistry(configuration, addresses, tls.vmClients);
  const incarnation = Date.now();
  const sendMessage = createMessageSender(settings.vm, incarnation, peerRegistry);
  const keyFreshness = createKeyFreshness({ settings, configuration, send: sendMessage, nowMs });
  const configurationDistribution = createConfigurationDistribution({
    settings,
    platform,
    configuration,
    addresses,
    vmCredentials: tls.vmClients,
    outageAgeMs: keyFreshness.outageAgeMs,
    onOutage: keyFreshness.applyOutage,
    nowMs,
    logger,
  });
  const slotController = createSlotController({
    vm: settings.vm,
    incarnation,
    platform,
    platformTimeoutMs: timeoutMs,
    configuration,
    completeAtMs: keyFreshness.completeAtMs,
    announceWrite: keyFreshness.announceWrite,
    send: sendMessage,
    logger,
    nowMs,
  });
  const membership = createMembership({
    vm: settings.vm,
    configuration,
    isOwnSlotUsable: slotController.isUsable,
    nowMs,
  });
  const groups = createGroupRegistry(
    configuration,
    settings.vm,
    addresses,
    nowMs,
    settings.pools,
    slotController.isUsable,
    dataCentres.phaseOf,
  );
  const termRecordInitialiser = createTermRecordInitializer(
    platform,
    configuration,
    timeoutMs,
    logger,
  );
  const workTracker = createWorkTracker();
  const leavingNotices = createLeavingNotices({
    vm: settings.vm,
    membership,
    send: sendMessage,
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
    listHeldGroups: slotController.describe,
    terms: termRecordInitialiser,
    send: sendMessage,
    timings: settings.failover,
    metrics: createFailoverMetrics(metrics.registry),
    logger,
    nowMs,
  });

  const authenticator = createAuthenticator(configuration, keyFreshness.areKeysFresh);
  const configurationWaiter = createConfigurationWaiter(configuration, nowMs);
  const statements = createStatementService({
    settings,
    configuration,
    dataCentres,
    groups,
    terms: termRecordInitialiser,
    membership,
    peers: peerRegistry,
    leavingNotices,
    recheckKey: authenticator.recheckKey,
    awaitConfiguration: configurationWaiter.wait,
    metrics,
    nowMs,
  });
  const admissionService = createAdmission({
    settings,
    incarnation,
    configuration,
    platform,
    peers: peerRegistry,
    send: sendMessage,
    countVms: () => membership.live().length,
    confirmedAtMs: configurationDistribution.confirmedAtMs,
    nowMs,
    logger,
  });
  const callerHandler = createCallerHandler({
    settings,
    authenticator,
    admission: admissionService.admission,
    execute: statements.execute,
    begin: statements.begin,
    beginWork: workTracker.startWork,
    onCutOff: workTracker.onCutOff,
    awaitConfiguration: configurationWaiter.wait,
    onKeysChanged: createKeyRecheckScheduler(configuration),
    metrics,
    nowMs,
  });
  const operatorHandler = createOperatorHandler({
    configuration,
    writer: createDocumentWriter({ platform, timeoutMs, nowMs }),
    announceWithdrawal: keyFreshness.announceWithdrawal,
    beginWork: workTracker.startWork,
    onCutOff: workTracker.onCutOff,
    describeVm: () => ({
      vm: settings.vm,
      dataCentre: settings.dataCentre,
      revision: configuration.revision(),
      shares: admissionService.shares.describe(),
      lease: admissionService.leases.describe(),
      confirmedAgeMs: Math.round(nowMs() - configurationDistribution.confirmedAtMs()),
      configuration: configurationDistribution.describe(),
      areKeysVouched: keyFreshness.areKeysFresh(),
      outageAgeMs: keyFreshness.outageAgeMs(),
      evacuatedDataCentres: [...dataCentres.evacuated()],
      slots: slotController.describe(),
      liveVms: membership.live().map(({ id }) => id),
      terms: Object.fromEntries(configuration.list('term')),
    }),
  });
  const peerHandler = createPeerHandler({
    vm: settings.vm,
    incarnation,
    executeLocally: statements.executeLocally,
    openFollowSession: configurationDistribution.openFollowSession,
    beginLocally: statements.beginLocally,
    beginWork: workTracker.startWork,
    onCutOff: workTracker.onCutOff,
    messageHandlers: new Map<string, MessageHandler>([
      ...admissionService.messageHandlers,
      ['suspicion', promotions.handleSuspicionMessage],
      [leavingNotices.kind, leavingNotices.receive],
      ...keyFreshness.messageHandlers,
      ...slotController.messageHandlers,
      [PING_KIND, async () => ({})],
    ]),
    nowMs,
  });

  configurationDistribution.start();
  keyFreshness.start(configurationDistribution);
  admissionService.start();
  createConfigurationMetrics(metrics.registry, {
    ...configuration,
    ...configurationDistribution,
    areKeysVouched: keyFreshness.areKeysFresh,
    nowMs,
  });
  promotions.start();
  slotController.start({ membership, groups, onSlotUseChanged: promotions.scheduleRankUpdate });
  const servers = await startServers({
    settings,
    tls,
    registry: metrics.registry,
    isReady: () =>
      workTracker.phase() === 'serving' &&
      configurationWaiter.isLoaded() &&
      admissionService.isReady(),
    callerHandler,
    peerHandler,
    operatorHandler,
  });
  limitHeap(settings);
  logger.info('daemon.started', { callerPort: settings.callerPort });

  return async (signalledAtMs) => {
    const lateMs = Math.round(nowMs() - signalledAtMs);
    logger.info('daemon.signalled', { lateMs });
    await drainWork({
      tracker: workTracker,
      timings: settings.shutdown,
      lateMs,
      announce: async () => {
        await Promise.all([leavingNotices.announce(), admissionService.shares.handOver()]);
      },
      endWork: statements.endWork,
    });
    await servers.stop();
    promotions.stop();
    await slotController.stop();
    await admissionService.shares.handOver();
    admissionService.stop();
    configurationDistribution.stop();
    keyFreshness.stop();
    statements.close();
    groups.close();
    peerRegistry.close();
    platform.close();
    servers.closeHttp();
    logger.info('daemon.stopped');
  };
};

export default startDaemon;
