import { randomBytes } from 'node:crypto';
import { Registry } from 'prom-client';
import {
  createCallerGuard,
  createSessionDaemon,
  deriveCallerLimits,
  type EventLog,
  type NodeSettings,
} from '@auburngrade/sessions';
import {
  createFailoverClient,
  createMemberDialer,
  createMetadataStore,
  createStoredValueDecoder,
  startCallerListener,
  startReadinessServer,
} from '@auburngrade/site';
import createRequestMetrics from '../metrics/createRequestMetrics';
import addSiteGauges from './addSiteGauges';
import observeStatement from './observeStatement';

const INCARNATION_BYTES = 6;
const MS_PER_S = 1_000;

/**
 * Starts a VM of the proxy; resolves with a function that answers what is under way and shuts it down, given the time
 * of the signal to stop.
 */
const startVm = async (
  settings: NodeSettings,
  log: EventLog,
  nowMs: () => number,
): Promise<(signalledAtMs: number) => Promise<void>> => {
  const incarnation = randomBytes(INCARNATION_BYTES).toString('hex');
  log.info('daemon.starting', { incarnation, dataCentre: settings.dataCentre });
  const registry = new Registry();
  const requestMetrics = createRequestMetrics(registry);
  const store = createMetadataStore(settings.storeAddress, log);
  const { memoryMb, maxDescriptors, callerLimits } = settings;
  const limits = deriveCallerLimits({ memoryMb, maxDescriptors, ...callerLimits });
  log.info('daemon.callerLimits', { ...limits });
  const guard = createCallerGuard(limits, log);
  const daemon = await createSessionDaemon({
    settings,
    incarnation,
    store,
    decoder: createStoredValueDecoder(),
    dialer: createMemberDialer(),
    failover: createFailoverClient(settings.failoverAddress),
    log,
    guard,
    onStatement: (observation) => observeStatement(requestMetrics, observation),
    nowMs,
    wallMs: Date.now,
  });
  addSiteGauges(registry, {
    sessions: daemon.sessionCount,
    isVoter: daemon.isVoter,
    storeEra: () => store.era(),
    evacuations: daemon.evacuations,
    callerConnections: guard.connectionCount,
    callerMemory: () => ({ ...guard.memory.bytesByUse(), values: daemon.valuesBytes() }),
    callerRefusals: guard.refusals,
    configurationVersion: () => daemon.configurationVersion() ?? 0,
    groups: () =>
      [...daemon.groups()].map(([group, server]) => ({
        group,
        waiting: server.countQueued(),
        underWay: server.countInFlight(),
        transactions: server.countOpenTransactions(),
        endpointPhases: server.endpointPhases(),
        forecastWaitS: server.forecastWaitMs() / MS_PER_S,
        refusals: server.refusalCounts(),
      })),
  });
  await startReadinessServer(settings.readinessAddress, daemon.isReady, {
    text: () => registry.metrics(),
    json: () => registry.getMetricsAsJSON(),
  });
  const callers = await startCallerListener(settings.callerAddress, daemon.openSession, guard);
  log.info('daemon.started', { tookMs: Math.round(nowMs()) });
  return async (signalledAtMs) => {
    await daemon.shutDown(signalledAtMs);
    await callers.close();
  };
};

export default startVm;
