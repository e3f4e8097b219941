import { randomBytes } from 'node:crypto';
import { Registry } from 'prom-client';
import { createSessionDaemon } from '@auburngrade/sessions';
import {
  createFailoverClient,
  createMemberDialer,
  createMetadataStore,
  createStoredValueDecoder,
  readNodeSettings,
  startCallerListener,
  startReadinessServer,
} from '@auburngrade/site';
import createEventLog from '../log/createEventLog';
import openStandardOutput from '../log/openStandardOutput';
import createRequestMetrics from '../metrics/createRequestMetrics';
import addSiteGauges from './addSiteGauges';
import observeStatement from './observeStatement';

const INCARNATION_BYTES = 6;

/** Runs a VM of the proxy on the platform; AUBURNGRADE_NODE_FILE names its settings file. */
const main = async (): Promise<void> => {
  const settingsPath = process.env.AUBURNGRADE_NODE_FILE;
  if (settingsPath === undefined) throw new Error('AUBURNGRADE_NODE_FILE is not set');
  const settings = readNodeSettings(settingsPath);
  const nowMs = (): number => performance.now();
  const log = createEventLog({ vm: settings.vm, nowMs, write: openStandardOutput() });
  const incarnation = randomBytes(INCARNATION_BYTES).toString('hex');
  log.info('daemon.starting', { incarnation, dataCentre: settings.dataCentre });
  const registry = new Registry();
  const requestMetrics = createRequestMetrics(registry);
  const store = createMetadataStore(settings.storeAddress, log);
  const daemon = await createSessionDaemon({
    settings,
    incarnation,
    store,
    decoder: createStoredValueDecoder(),
    dialer: createMemberDialer(),
    failover: createFailoverClient(settings.failoverAddress),
    log,
    onStatement: (observation) => observeStatement(requestMetrics, observation),
    nowMs,
    wallMs: Date.now,
  });
  addSiteGauges(registry, {
    sessions: daemon.sessionCount,
    isVoter: daemon.isVoter,
    storeEra: () => store.era(),
    configurationVersion: () => daemon.configurationVersion() ?? 0,
    groups: () =>
      [...daemon.groups()].map(([group, server]) => ({
        group,
        waiting: server.countQueued(),
        underWay: server.countInFlight(),
        transactions: server.countOpenTransactions(),
      })),
  });
  await startReadinessServer(settings.readinessAddress, daemon.isReady, {
    text: () => registry.metrics(),
    json: () => registry.getMetricsAsJSON(),
  });
  const callers = await startCallerListener(settings.callerAddress, daemon.openSession);
  log.info('daemon.started', { tookMs: Math.round(nowMs()) });

  let isStopping = false;
  process.on('SIGTERM', () => {
    if (isStopping) return;
    isStopping = true;
    daemon
      .shutDown()
      .then(callers.close)
      .finally(() => process.exit(0));
  });
  process.on('SIGHUP', () => log.info('daemon.reloaded', { changed: [] }));
  process.on('uncaughtException', (error) =>
    log.warn('daemon.uncaught', { reason: error.message, stack: error.stack }),
  );
  process.on('unhandledRejection', (reason) =>
    log.warn('daemon.unhandled', { reason: String(reason) }),
  );
};

main().catch((error) => {
  process.stderr.write(`auburngrade: ${String(error)}\n`);
  process.exit(1);
});
