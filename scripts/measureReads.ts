import { randomUUID } from 'node:crypto';
import { AccessMode, Verdict } from '@auburngrade/caller';
import { startFleet } from '@auburngrade/testkit';

/**
 * Measures the share of reads that replicas serve: sessions that write one request in ten
 * and read their own rows through changing VMs, by replication lag and catch-up wait.
 */
const REQUESTS = 1_500;
const SESSIONS = 16;
const WRITE_RATIO = 0.1;
const UPSERT =
  'INSERT INTO items (key, value) VALUES ($1, $2) ON CONFLICT (key) DO UPDATE SET value = EXCLUDED.value';
const SELECT = 'SELECT value FROM items WHERE key = $1';

interface Tally {
  reads: number;
  fromReplicas: number;
  backwards: number;
  refused: number;
  readMs: number[];
}

const quantile = (values: number[], ratio: number): number =>
  [...values].sort((a, b) => a - b)[Math.floor(values.length * ratio)] ?? 0;

const measure = async (
  replicationLagMs: number,
  catchUpWaitMs: number,
  profile: string,
): Promise<Record<string, unknown>> => {
  const fleet = await startFleet({
    replicationLagMs,
    vmSettings: { reads: { catchUpWaitMs } },
    connectionBudget: 60,
    hasFaultLinks: true,
    betweenDataCentresDelayMs: 0.5,
  });
  try {
    await fleet.put('account', 'ranch', { limit: { ratePerS: 1_000_000, burst: 1_000_000 } });
    await fleet.put('profile', 'session', { accounts: ['ranch'], groups: ['auctions'] });
    const freshness = { kind: 'maxAge', maxAgeMs: 2_000 };
    await fleet.put('profile', 'aged', { accounts: ['ranch'], groups: ['auctions'], freshness });
    const { key } = await fleet.issueKey('ranch');
    await fleet.settle();
    const callers = fleet.names.map(({ vm }) => fleet.caller(vm, key));
    const tally: Tally = { reads: 0, fromReplicas: 0, backwards: 0, refused: 0, readMs: [] };

    const runSession = async (session: number): Promise<void> => {
      let token = '';
      let written = 0;
      for (let index = 0; index < REQUESTS / SESSIONS; index += 1) {
        const caller = callers[Math.floor(Math.random() * callers.length)]!;
        const isWrite = index === 0 || Math.random() < WRITE_RATIO;
        const startedAtMs = performance.now();
        const outcome = await caller.execute({
          profile,
          group: 'auctions',
          accessMode: isWrite ? AccessMode.WRITE : AccessMode.READ,
          sql: isWrite ? UPSERT : SELECT,
          parameters: [{ text: `s${session}` }, ...(isWrite ? [{ text: String(index) }] : [])],
          sessionToken: token,
          requestId: randomUUID(),
          timeoutMs: 5_000,
        });
        if (outcome.verdict !== Verdict.RAN) tally.refused += 1;
        else if (isWrite) written = index;
        else {
          tally.reads += 1;
          tally.readMs.push(performance.now() - startedAtMs);
          if (outcome.servedBy?.role === 'replica') tally.fromReplicas += 1;
          if (Number(outcome.rows?.rows[0]?.cells[0]?.text) !== written) tally.backwards += 1;
        }
        if (outcome.verdict === Verdict.RAN) token = outcome.sessionToken;
      }
    };
    await Promise.all(Array.from({ length: SESSIONS }, (_, session) => runSession(session)));
    callers.forEach((caller) => caller.close());
    return {
      profile,
      replicationLagMs,
      catchUpWaitMs,
      reads: tally.reads,
      replicaShare: Number((tally.fromReplicas / tally.reads).toFixed(4)),
      backwards: tally.backwards,
      refused: tally.refused,
      readP50Ms: Number(quantile(tally.readMs, 0.5).toFixed(1)),
      readP99Ms: Number(quantile(tally.readMs, 0.99).toFixed(1)),
    };
  } finally {
    await fleet.stop();
  }
};

const CASES: [number, number, string][] = [
  [1, 0, 'session'],
  [1, 20, 'session'],
  [20, 0, 'session'],
  [20, 20, 'session'],
  [20, 20, 'aged'],
  [200, 0, 'session'],
  [200, 20, 'session'],
  [200, 100, 'session'],
  [200, 20, 'aged'],
];

const main = async (): Promise<void> => {
  for (const [lagMs, waitMs, profile] of CASES) {
    const figures = await measure(lagMs, waitMs, profile).catch((error: Error) => ({
      profile,
      replicationLagMs: lagMs,
      catchUpWaitMs: waitMs,
      failed: error.message.split('\n')[0],
    }));
    console.log(JSON.stringify(figures));
  }
};

main();
