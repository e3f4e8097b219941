import { randomBytes } from 'node:crypto';
import { createSessionDaemon } from '@auburngrade/sessions';
import {
  createFailoverCaller,
  createMemberDialer,
  createMetadataStore,
  createSiteDecoder,
  readNodeSettings,
  startCallerListener,
  startReadinessServer,
} from '@auburngrade/site';
import createEventLog from '../log/createEventLog';
import openStandardOutput from '../log/openStandardOutput';
import createSiteMetrics from './createSiteMetrics';

const INCARNATION_BYTES = 6;

/** Runs a VM of the proxy on the platform whose settings file the environment names. */
const main = async (): Promise<void> => {
  const settingsPath = process.env.AUBURNGRADE_NODE_FILE;
  if (settingsPath === undefined) throw new Error('AUBURNGRADE_NODE_FILE is not set');
  const settings = readNodeSettings(settingsPath);
  const nowMs = (): number => performance.now();
  const log = createEventLog({ vm: settings.vm, nowMs, write: openStandardOutput() });
  const incarnation = randomBytes(INCARNATION_BYTES).toString('hex');
  log.info('daemon.starting', { incarnation, dataCentre: settings.dataCentre });
  const daemon = await createSessionDaemon({
    settings,
    incarnation,
    store: createMetadataStore(settings.storeAddress),
    decoder: createSiteDecoder(),
    dialer: createMemberDialer(),
    failover: createFailoverCaller(settings.failoverAddress),
    log,
    nowMs,
    wallMs: Date.now,
  });
  const metrics = createSiteMetrics({
    sessions: daemon.sessionCount,
    configurationVersion: () => daemon.configurationVersion() ?? 0,
    groups: () =>
      [...daemon.groups()].map(([group, server]) => ({
        group,
        waiting: server.waitingCount(),
        underWay: server.underWay(),
        transactions: server.openTransactions(),
      })),
  });
  const readiness = await startReadinessServer(settings.readinessAddress, daemon.isReady, () =>
    metrics.metrics(),
  );
  const callers = await startCallerListener(settings.callerAddress, daemon.openSession);
  log.info('daemon.started', { tookMs: Math.round(nowMs()) });

  let isStopping = false;
  process.on('SIGTERM', () => {
    if (isStopping) return;
    isStopping = true;
    daemon.shutDown().finally(() => {
      callers.close();
      readiness.close();
      process.exit(0);
    });
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
