/* global URL, clearTimeout, performance, process, setTimeout */
import openClient from '../harness/openClient.mjs';
import startWorld from '../harness/startWorld.mjs';

const STOP_AT_S = 10;
/** The site's freezes last up to 3,500 ms. */
const FREEZE_MS = 1_400;
const GRACE_MS = 6_000;
const STABILITY_WINDOW_MS = 4_000;
const SESSIONS = 24;
const TENANT = { Name: 'tenant1', ApiKeys: ['key1'], Priority: 1, RatePerS: 1_000, Burst: 1_000 };

const hasTrouble = process.env.TROUBLE !== '0';
const sleep = (ms) =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
/** Ids of the requests that a member ran. */
const passedOn = new Set();
const world = await startWorld({
  recordPath: new URL('record.txt', import.meta.url).pathname,
  zones: ['northmere-a', 'northmere-b', 'northmere-c'],
  vmCount: 9,
  tenants: [TENANT],
  member: {
    slots: 3,
    maxConnections: 39,
    workMs: () => 24,
    replicaLagMs: () => 8,
    promoteMs: 1_000,
    onStatement: ({ id }) => {
      passedOn.add(id);
    },
  },
});
const { record, vms, platform } = world;
let lastNumber = 0;
const requests = [];
const counts = {};

if (!(await world.untilReady(15_000))) {
  record('not ready');
  world.stop();
  process.exit(2);
}
const [[, text]] = platform.list('auburngrade/groups/s1');
const { owner } = JSON.parse(text);
/** The machine that takes the requests from the clients; it owns no group. */
const front = vms.find(({ name }) => name !== owner);
record('ready', { owner, front: front.name });

/** A session of a client's pool under load: it sends its next statement as soon as it has an answer. */
const runSession = async (index) => {
  const client = openClient({ address: front.address, database: 's1-primary', key: 'key1' });
  let answer = await client.started;
  while (client.isOpen() && answer.state === 'I') {
    lastNumber += 1;
    const request = { id: `id${lastNumber}`, sentAtMs: performance.now() };
    requests.push(request);
    const item = `item${lastNumber % 50}`;
    request.text = index % 2 === 0 ? `READ ${item}` : `WRITE ${item} data${lastNumber}`;
    answer = await client.query(request.id, request.text);
    request.code = answer.code ?? 'ok';
    request.endedAtMs = performance.now();
    counts[request.code] = (counts[request.code] ?? 0) + 1;
  }
};
const sessions = Array.from({ length: SESSIONS }, (_, index) => runSession(index));

await sleep(STOP_AT_S * 1_000);
if (hasTrouble) front.signal('SIGSTOP');
const signalledAtMs = performance.now();
front.signal('SIGTERM');
const pid = front.pid();
const killTimer = setTimeout(() => front.pid() === pid && front.signal('SIGKILL'), GRACE_MS);
if (hasTrouble) {
  await sleep(FREEZE_MS);
  front.signal('SIGCONT');
}
/** Requests that a disruption in the window before them excuses are left out. */
const judgedFromMs = hasTrouble ? performance.now() + STABILITY_WINDOW_MS : signalledAtMs;
await Promise.all(sessions);
clearTimeout(killTimer);

const isLost = ({ id, code, sentAtMs }) =>
  code === 'BROKEN' && sentAtMs > judgedFromMs && passedOn.has(id);
const lost = requests.filter(isLost).map(({ id, text: sentText, sentAtMs, endedAtMs }) => ({
  id,
  text: sentText,
  sentAfterSigtermMs: Math.round(sentAtMs - signalledAtMs),
  cutAfterSigtermMs: Math.round(endedAtMs - signalledAtMs),
}));
lost.forEach((request) => record('passed on to a member, and cut without an answer', request));
record('counts', { ...counts, lost: lost.length });
record(lost.length > 0 ? 'rule broken' : 'rule held');
world.stop();
process.exit(lost.length > 0 ? 1 : 0);
