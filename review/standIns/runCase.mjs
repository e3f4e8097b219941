import { join } from 'node:path';
import process from 'node:process';
import { setTimeout } from 'node:timers';
import startDeployment from './startDeployment.mjs';

const LIMIT_MS = 110_000;
const HELD = 0;
const BROKEN = 1;
const NOT_RUN = 2;

/**
 * Runs a case on a fresh deployment and ends with its exit code. `run` resolves with the list of what broke the
 * rule, or with undefined if the case could not run.
 */
const runCase = async (folder, options, run) => {
  setTimeout(() => process.exit(NOT_RUN), LIMIT_MS).unref();
  ['SIGTERM', 'SIGINT'].forEach((signal) => process.on(signal, () => process.exit(NOT_RUN)));
  ['uncaughtException', 'unhandledRejection'].forEach((event) =>
    process.on(event, (error) => {
      process.stderr.write(`${error?.stack ?? error}\n`);
      process.exit(NOT_RUN);
    }),
  );
  const isTrouble = process.env.TROUBLE !== '0';
  const deployment = await startDeployment({ recordPath: join(folder, 'record.txt'), ...options });
  const { record } = deployment;
  record('case.started', { isTrouble });
  let exitCode = NOT_RUN;
  try {
    if (await deployment.awaitService()) {
      const broken = await run(deployment, isTrouble);
      if (broken) exitCode = broken.length > 0 ? BROKEN : HELD;
      record('case.ended', { exitCode, broken });
      process.stdout.write(`${JSON.stringify({ isTrouble, broken: broken?.slice(0, 3) })}\n`);
    } else {
      record('case.notReady');
      process.stdout.write('not ready\n');
    }
  } catch (error) {
    record('case.failed', { reason: String(error) });
    process.stderr.write(`${error?.stack ?? error}\n`);
  }
  await deployment.stop();
  process.exit(exitCode);
};

export default runCase;
