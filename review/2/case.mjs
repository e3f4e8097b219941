import { setTimeout } from 'node:timers';
import runCase from '../standIns/runCase.mjs';
import sleep from '../standIns/sleep.mjs';

const WRITERS = 3;
const WRITE_PAUSE_MS = 40;
const DRAIN_MS = 7_000;
/** At most 6.5 s in the site file. */
const DEAF_MS = 6_500;
const CRASH_AFTER_MS = 3_000;
const RUN_MS = 12_000;

await runCase(import.meta.dirname, { syncReplicas: 1 }, async (deployment, isTrouble) => {
  const { record, service, open } = deployment;
  const acknowledged = new Set();
  const broken = [];
  let isEnded = false;

  service.onPromoted = (member) => {
    const held = new Set(member.log.map(({ requestId }) => requestId));
    [...acknowledged]
      .filter((id) => !held.has(id))
      .forEach((id) =>
        broken.push(`LOST: commit ${id} was acknowledged and isn't in the log of ${member.id}`),
      );
  };
  const write = async (writer) => {
    let session;
    for (let count = 1; !isEnded; count += 1) {
      if (!session?.isOpen()) session = await open(writer);
      const id = `w${writer}x${count}`;
      const answer = await session?.query(id, `WRITE item${writer} v${count}`);
      if (answer?.kind === 'complete') acknowledged.add(id);
      await sleep(WRITE_PAUSE_MS);
    }
    session?.close();
  };

  const writers = Array.from({ length: WRITERS }, (_, index) => write(index));
  await sleep(1_000);
  // Planned work, in both runs: a replica leaves, and a new one takes its address and its log.
  service.drain('i-2');
  setTimeout(() => service.replace('i-2', 'i-4'), DRAIN_MS + 500);
  if (isTrouble) {
    // The other replica receives nothing for a while, and the primary crashes meanwhile.
    service.setDeaf(['i-3'], true);
    setTimeout(() => service.setDeaf(['i-3'], false), DEAF_MS);
    setTimeout(() => service.crash('i-1'), CRASH_AFTER_MS);
  }
  await sleep(RUN_MS);
  isEnded = true;
  await Promise.all(writers);
  record('case.acknowledged', { count: acknowledged.size });
  return acknowledged.size > 0 ? broken : undefined;
});
