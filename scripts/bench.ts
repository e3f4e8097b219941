import { randomUUID } from 'node:crypto';
import { AccessMode, Verdict, createCallerClient } from '@auburngrade/caller';
import { startFleet, type Fleet } from '@auburngrade/testkit';
import pg from 'pg';
import type LatencyStats from './bench/latencyStats';
import runRound from './bench/runRound';
import formatRows from './measurement/formatRows';
import measureWindow from './measurement/measureWindow';
import median from './measurement/median';
import runInfo from './measurement/runInfo';
import sleep from './measurement/sleep';
import writeResult from './measurement/writeResult';
import findForwarder from './slopes/findForwarder';

const HOST = '127.0.0.1';
const ROUNDS = 5;
const ROUND_MS = 2_000;
const IN_FLIGHT = [1, 64];
const VMS_PER_DATA_CENTRE = 2;
/** 20 connections from each of the 3 holders to each of the 3 members. */
const CONNECTION_BUDGET = 180;
const DIRECT_CONNECTIONS = 19;
const IDLE_SETTLE_MS = 3_000;
const IDLE_WINDOW_MS = 10_000;
const TIMEOUT_MS = 5_000;
const MAX_RUN_MS = 5 * 60_000;
const SELECT = 'SELECT value FROM items WHERE key = $1';
/** Every round checks that it reads this. */
const ITEM = 'bale';
const VALUE = '42';
const UPSERT =
  'INSERT INTO items (key, value) VALUES ($1, $2) ON CONFLICT (key) DO UPDATE SET value = EXCLUDED.value';
const LIMIT = { ratePerS: 1_000_000, burst: 1_000_000 };

type Execute = () => Promise<boolean>;

interface Round extends LatencyStats {
  path: string;
  inFlight: number;
}

const createReader = (fleet: Fleet, vm: string, key: string): Execute => {
  const caller = createCallerClient(`${HOST}:${fleet.vms.get(vm)?.ports.callerPort}`, key);
  return async () => {
    const outcome = await caller.execute({
      profile: 'measured',
      group: 'auctions',
      accessMode: AccessMode.READ,
      sql: SELECT,
      parameters: [{ text: ITEM }],
      timeoutMs: TIMEOUT_MS,
    });
    return outcome.verdict === Verdict.RAN && outcome.rows?.rows[0]?.cells[0]?.text === VALUE;
  };
};

const createDirectReader = (fleet: Fleet): Execute => {
  const { port } = fleet.member('auctions-m1');
  const user = 'auburngrade';
  const pool = new pg.Pool({
    host: HOST,
    port,
    user,
    database: 'postgres',
    max: DIRECT_CONNECTIONS,
  });
  return async () => {
    const { rows } = await pool.query<{ value: string }>(SELECT, [ITEM]);
    return rows[0]?.value === VALUE;
  };
};

const summarize = (rounds: Round[], path: string, inFlight: number) => {
  const chosen = rounds.filter((round) => round.path === path && round.inFlight === inFlight);
  const medianOf = (field: keyof LatencyStats): number =>
    median(chosen.map((round) => round[field]));
  return {
    path,
    inFlight,
    p50Ms: medianOf('p50Ms'),
    p99Ms: medianOf('p99Ms'),
    statementsPerS: medianOf('statementsPerS'),
    errors: chosen.reduce((sum, { errors }) => sum + errors, 0),
  };
};

setTimeout(() => process.exit(1), MAX_RUN_MS).unref();
const info = runInfo();
const fleet = await startFleet({
  dataCentres: ['waco', 'temple'],
  vmsPerDataCentre: VMS_PER_DATA_CENTRE,
  connectionBudget: CONNECTION_BUDGET,
});
await fleet.put('account', 'ranch', { limit: LIMIT });
const profile = { accounts: ['ranch'], groups: ['auctions'], freshness: { kind: 'primary' } };
await fleet.put('profile', 'measured', profile);
const { key } = await fleet.issueKey('ranch');
await fleet.settle();
await sleep(IDLE_SETTLE_MS);
const { forwarder, holder } = await findForwarder(fleet, key, 'auctions');

const writer = fleet.caller(holder, key);
const written = await writer.execute({
  profile: 'measured',
  group: 'auctions',
  accessMode: AccessMode.WRITE,
  sql: UPSERT,
  parameters: [{ text: ITEM }, { text: VALUE }],
  requestId: randomUUID(),
  timeoutMs: TIMEOUT_MS,
});
writer.close();
if (written.verdict !== Verdict.RAN) throw new Error(`write: ${written.refusal?.message}`);

const paths: [string, Execute][] = [
  ['direct pg client', createDirectReader(fleet)],
  ['VM that holds the pool', createReader(fleet, holder, key)],
  ['VM that forwards', createReader(fleet, forwarder, key)],
];
for (const [, execute] of paths) await runRound(execute, 64, ROUND_MS);
const rounds: Round[] = [];
for (let round = 0; round < ROUNDS; round += 1) {
  for (const inFlight of IN_FLIGHT) {
    for (const [path, execute] of paths) {
      rounds.push({ path, inFlight, ...(await runRound(execute, inFlight, ROUND_MS)) });
    }
  }
}
await sleep(IDLE_SETTLE_MS);
const idle = await measureWindow(fleet, IDLE_WINDOW_MS);

const rows = IN_FLIGHT.flatMap((inFlight) => {
  const summaries = paths.map(([path]) => summarize(rounds, path, inFlight));
  const [direct] = summaries;
  return summaries.map((row) => ({
    ...row,
    addedP50Ms: row.p50Ms - (direct?.p50Ms ?? 0),
    ratioToDirect: row.p50Ms / (direct?.p50Ms ?? 1),
  }));
});
const idleRows = [
  { measure: 'memory', value: idle.vmResidentMbMax, target: 128, unit: 'MB' },
  { measure: 'control bytes', value: idle.vmBytesPerSMax, target: 4_096, unit: 'B/s' },
  { measure: 'processor time', value: idle.vmCpuPercentMax, target: 3, unit: '% of a core' },
].map((row) => ({ ...row, isMet: row.value <= row.target }));

console.log(`${formatRows(rows)}\n\nidle VM (the worst of 4)\n\n${formatRows(idleRows)}\n`);
console.log(JSON.stringify(info));
writeResult('bench', { ...info, rows, idle, idleRows, rounds });
await fleet.stop();
process.exit(0);
