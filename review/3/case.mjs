import { performance } from 'node:perf_hooks';
import runCase from '../standIns/runCase.mjs';
import sleep from '../standIns/sleep.mjs';

/** At most 5 s in the site's list of troubles. */
const CUT_MS = 3_000;
/** Time limit of the members for a commit: shorter than `TimeoutMs` of the route, 1,000 ms. */
const COMMIT_TIMEOUT_MS = 600;
const PAUSE_MS = 50;
const PROMISES = ['BUSY', 'ABORTED', 'LAGGING', 'READONLY', 'MISROUTED', 'CONNLIMIT'];

const options = { syncReplicas: 1, commitTimeoutMs: COMMIT_TIMEOUT_MS };

await runCase(import.meta.dirname, options, async (deployment, isTrouble) => {
  const { record, service, open } = deployment;
  /** Codes that answered the commit of each transaction, by the request id of the commit. */
  const codes = new Map();

  const runTransaction = async (number) => {
    const session = await open(number);
    if (!session) return;
    const id = `t${number}`;
    await session.query(`${id}b`, 'BEGIN');
    const written = await session.query(`${id}w`, `WRITE item${number} v${number}`);
    if (written.kind === 'complete') {
      const answer = await session.query(`${id}c`, 'COMMIT');
      codes.set(`${id}c`, answer.kind === 'complete' ? 'COMPLETE' : (answer.code ?? 'closed'));
    }
    session.close();
  };

  const runFor = async (durationMs, firstNumber) => {
    const untilMs = performance.now() + durationMs;
    let number = firstNumber;
    while (performance.now() < untilMs) {
      await runTransaction(number);
      number += 1;
      await sleep(PAUSE_MS);
    }
  };
  await runFor(1_000, 100);
  // The primary is partitioned from its replicas, which receive nothing meanwhile.
  if (isTrouble) service.setDeaf(['i-2', 'i-3'], true);
  await runFor(CUT_MS, 200);
  if (isTrouble) service.setDeaf(['i-2', 'i-3'], false);
  await sleep(500);
  await runFor(1_000, 300);
  await sleep(500);

  const isKept = (id) =>
    [...service.members.values()].every(({ log }) => log.some((entry) => entry.requestId === id));
  record('case.codes', Object.fromEntries(codes));
  if (![...codes.values()].includes('COMPLETE')) return undefined;
  return [...codes]
    .filter(([id, code]) => PROMISES.includes(code) && isKept(id))
    .map(([id, code]) => `REFUSED: ${id} was answered ${code} and is in the log of each member`);
});
