import { performance } from 'node:perf_hooks';
import process from 'node:process';
import { setTimeout } from 'node:timers';
import runCase from '../standIns/runCase.mjs';
import sleep from '../standIns/sleep.mjs';

const CUT_ZONE = 'waco';
/** Regions lose each other for minutes. */
const CUT_MS = 14_000;
/** After the registrations of the machines that are cut off have lapsed, 4 s after their last renewal. */
const KILL_AFTER_MS = 6_000;
const DOWN_MS = 500;
const RUN_MS = 18_000;
const PAUSE_MS = 60;
const GROUP_KEY = 'auburngrade/groups/huvo11a';

const options = {
  syncReplicas: 0,
  vmZones: [CUT_ZONE, CUT_ZONE, CUT_ZONE, 'temple', 'bryan'],
  regionOf: (zone) => (zone === CUT_ZONE ? 'tx-west' : 'tx-east'),
  sideOfZone: (zone) => (zone === CUT_ZONE ? 0 : 1),
  platformZone: 'temple',
};

await runCase(import.meta.dirname, options, async (deployment, isTrouble) => {
  const { record, partition, service, platform, vms, open } = deployment;
  const acknowledged = [];
  const reads = new Map();
  let isEnded = false;
  let newPrimary = service.find('i-1');
  service.onPromoted = (member) => {
    newPrimary = member;
  };
  service.onRun = (member, id, mode) => {
    const read = reads.get(id);
    if (mode !== 'READ' || !read) return;
    read.member = member.id;
    read.held = new Set(member.log.map(({ requestId }) => requestId));
  };

  const runClient = async (index) => {
    let session;
    for (let count = 1; !isEnded; count += 1) {
      if (!session?.isOpen()) session = await open(index);
      const id = `c${index}x${count}`;
      const written = await session?.query(`${id}w`, `WRITE item${index} v${count}`);
      if (written?.kind === 'complete')
        acknowledged.push({ id: `${id}w`, atMs: performance.now(), vm: vms[index].name });
      reads.set(`${id}r`, { sentAtMs: performance.now(), vm: vms[index].name });
      const answer = await session?.query(`${id}r`, `READ item${index}`);
      reads.get(`${id}r`).isAnswered = answer?.kind === 'complete';
      await sleep(PAUSE_MS);
    }
    session?.close();
  };

  const clients = vms.map((_vm, index) => runClient(index));
  await sleep(1_000);
  if (isTrouble) {
    // The zone with three of the five machines, the primary and a part of the clients loses the rest.
    partition.cut();
    service.expireUnreached();
    setTimeout(() => {
      partition.heal();
      service.demoteReachable();
    }, CUT_MS);
    await sleep(KILL_AFTER_MS);
    // The machine that last wrote to the store under a condition: the owner of the group.
    const { owner } = platform.read(GROUP_KEY);
    record('case.owner', platform.read(GROUP_KEY));
    if (process.env.KILL !== '0')
      await vms.find(({ name }) => name === owner).killAndRestart(DOWN_MS);
  }
  await sleep(RUN_MS - (isTrouble ? KILL_AFTER_MS : 0));
  isEnded = true;
  await Promise.all(clients);

  const kept = new Set(newPrimary.log.map(({ requestId }) => requestId));
  const lost = acknowledged.filter(({ id }) => !kept.has(id));
  record('case.lost', { count: lost.length, first: lost.slice(0, 5) });
  record('case.record', platform.read(GROUP_KEY));
  return [...reads].flatMap(([id, { sentAtMs, vm, member, held, isAnswered }]) => {
    if (!isAnswered || !held) return [];
    const missing = acknowledged.find(
      (commit) => commit.atMs < sentAtMs && kept.has(commit.id) && !held.has(commit.id),
    );
    return missing
      ? [`STALE: read ${id} through ${vm} ran at ${member}, whose log lacked ${missing.id}`]
      : [];
  });
});
