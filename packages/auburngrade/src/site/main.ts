import { readNodeSettings } from '@auburngrade/site';
import createSignalClock from '../daemon/createSignalClock';
import createEventLog from '../log/createEventLog';
import openStandardOutput from '../log/openStandardOutput';
import startVm from './startVm';

/** Runs a VM of the proxy on the platform; AUBURNGRADE_NODE_FILE names its settings file. */
const main = async (): Promise<void> => {
  const settingsPath = process.env.AUBURNGRADE_NODE_FILE;
  if (settingsPath === undefined) throw new Error('AUBURNGRADE_NODE_FILE is not set');
  const settings = readNodeSettings(settingsPath);
  const nowMs = (): number => performance.now();
  const log = createEventLog({ vm: settings.vm, nowMs, write: openStandardOutput() });
  process.on('uncaughtException', (error) =>
    log.warn('daemon.uncaught', { reason: error.message, stack: error.stack }),
  );
  process.on('unhandledRejection', (reason) =>
    log.warn('daemon.unhandled', { reason: String(reason) }),
  );
  process.on('SIGHUP', () => log.info('daemon.reloaded', { changed: [] }));
  // Handled before callers are accepted: by default the signal would end the process at once.
  let isStopping = false;
  const signalClock = createSignalClock(nowMs);
  const stopRequested = new Promise<number>((resolve) => {
    process.on('SIGTERM', () => {
      const signalledAtMs = signalClock.earliestArrivalMs();
      const lateMs = Math.round(nowMs() - signalledAtMs);
      log.info('daemon.signalled', { signal: 'SIGTERM', isRepeated: isStopping, lateMs });
      isStopping = true;
      resolve(signalledAtMs);
    });
  });
  const stop = await startVm(settings, log, nowMs);
  await stop(await stopRequested);
};

main()
  .then(() => process.exit(0))
  .catch((error) => {
    process.stderr.write(`auburngrade: ${String(error)}\n`);
    process.exit(1);
  });
