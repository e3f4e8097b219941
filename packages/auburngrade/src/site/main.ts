import { readNodeSettings } from '@auburngrade/site';
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
  const stopRequested = new Promise<void>((resolve) => {
    process.on('SIGTERM', () => {
      log.info('daemon.signalled', { signal: 'SIGTERM', isRepeated: isStopping });
      isStopping = true;
      resolve();
    });
  });
  const stop = await startVm(settings, log, nowMs);
  await stopRequested;
  await stop();
};

main()
  .then(() => process.exit(0))
  .catch((error) => {
    process.stderr.write(`auburngrade: ${String(error)}\n`);
    process.exit(1);
  });
