import { execFile } from 'node:child_process';
import { resolve } from 'node:path';
import { promisify } from 'node:util';
import { setTimeout as sleep } from 'node:timers/promises';
import { AccessMode, Verdict, type Outcome } from '@auburngrade/caller';
import { startFleet, waitFor, type Fleet } from '@auburngrade/testkit';
import { expect } from 'chai';

const PROGRAM = resolve(import.meta.dirname, '../../../../dist/auburngrade.cjs');
const GROUP = 'auctions';
const LEAVING = 'auctions-m3';
/** The VM in the endpoint's data centre, which reads from it. */
const NEAR_VM = 'bryan-1';
const SLOTS = 3;
const BUDGET = 60;
const READ = "SELECT value FROM items WHERE key = 'bale'";
const READ_INTERVAL_MS = 5;
const READ_TIMEOUT_MS = 3_000;
const DRAIN_TIMEOUT_MS = 3_000;
/** A change of the configuration is in force everywhere by then. */
const SPREAD_MS = 6_000;
const MARGIN_MS = 1_500;
const SHORT_S = 2;
const LONG_S = 20;

interface Read {
  sentAtMs: number;
  outcome: Outcome;
}

describe('an endpoint that is leaving', () => {
  let fleet: Fleet;
  let callers: ReturnType<Fleet['caller']>[] = [];

  const read = async (caller: (typeof callers)[number], sql: string, timeoutMs: number) => {
    const sentAtMs = performance.now();
    const accessMode = AccessMode.READ;
    const statement = { profile: 'lots', group: GROUP, accessMode, sql, timeoutMs };
    return { sentAtMs, outcome: await caller.execute(statement) };
  };

  /** Reads through all VMs in turn until stopped. */
  const startReads = () => {
    const pending: Promise<Read>[] = [];
    const timer = setInterval(() => {
      const caller = callers[pending.length % callers.length];
      if (caller) pending.push(read(caller, READ, READ_TIMEOUT_MS));
    }, READ_INTERVAL_MS);
    return (): Promise<Read[]> => {
      clearInterval(timer);
      return Promise.all(pending);
    };
  };

  const drain = async (): Promise<void> => {
    const address = `127.0.0.1:${fleet.vms.get(NEAR_VM)?.ports.operatorPort}`;
    const args = [PROGRAM, 'endpoint', 'drain', GROUP, LEAVING, '-a', address];
    await promisify(execFile)(process.execPath, args);
  };

  /** Until a VM that has just started holds its slot, other VMs read for it. */
  const awaitOwnSlot = (vm: string, caller: ReturnType<Fleet['caller']> | undefined) =>
    waitFor(`reads by ${vm} itself`, async () => {
      const answered = caller && (await read(caller, READ, READ_TIMEOUT_MS));
      return answered?.outcome.servedBy?.vm === vm;
    });

  before(async () => {
    fleet = await startFleet({ connectionBudget: BUDGET });
    const endpoints = { drainTimeoutMs: DRAIN_TIMEOUT_MS };
    await fleet.put('profile', 'lots', { openToAll: true, groups: [GROUP], endpoints });
    await fleet.settle();
    callers = fleet.names.map(({ vm }) => fleet.caller(vm));
    await Promise.all(fleet.names.map(({ vm }, index) => awaitOwnSlot(vm, callers[index])));
  });

  after(async () => {
    callers.forEach((caller) => caller.close());
    await fleet.stop();
  });

  it('gets no new work, lets what runs end for a while, and has no connections then', async () => {
    const near = callers[fleet.names.findIndex(({ vm }) => vm === NEAR_VM)];
    if (!near) throw new Error('no caller');
    const stopReads = startReads();
    const short = read(near, `SELECT pg_sleep(${SHORT_S})`, READ_TIMEOUT_MS);
    await sleep(READ_INTERVAL_MS);
    await drain();
    const drainedAtMs = performance.now();
    expect((await short).outcome).to.deep.include({ verdict: Verdict.RAN });
    expect((await short).outcome.servedBy?.endpoint).to.equal(LEAVING);
    await waitFor(
      'no connections but for control',
      async () => (await fleet.member(LEAVING).state()).connections <= SLOTS,
      SPREAD_MS + DRAIN_TIMEOUT_MS + MARGIN_MS,
    );
    await sleep(Math.max(0, drainedAtMs + SPREAD_MS + MARGIN_MS - performance.now()));
    const reads = await stopReads();
    const isServedThere = ({ outcome }: Read): boolean => outcome.servedBy?.endpoint === LEAVING;
    const late = reads.filter(({ sentAtMs }) => sentAtMs > drainedAtMs + SPREAD_MS);
    expect(late).to.have.length.above(50);
    expect(late.filter(isServedThere)).to.have.length(0);
    expect(reads.filter(isServedThere)).to.have.length.above(0);
    const refused = reads.filter(({ outcome }) => outcome.verdict !== Verdict.RAN);
    expect(refused.map(({ outcome }) => outcome.refusal?.code)).to.deep.equal([]);
  });
});

describe('a statement that runs for long on an endpoint that is leaving', () => {
  it('is cut at the end of the time that its profile gives', async () => {
    const fleet = await startFleet();
    const endpoints = { drainTimeoutMs: DRAIN_TIMEOUT_MS };
    await fleet.put('profile', 'lots', { openToAll: true, groups: [GROUP], endpoints });
    await fleet.settle();
    const caller = fleet.caller(NEAR_VM);
    const connections = async () => (await fleet.member(LEAVING).state()).connections;
    await waitFor('control connections', async () => (await connections()) === SLOTS);
    const statement = { profile: 'lots', group: GROUP, accessMode: AccessMode.READ };
    const sql = `SELECT pg_sleep(${LONG_S})`;
    const long = caller.execute({ ...statement, sql, timeoutMs: LONG_S * 1_000 }).catch(() => {});
    await waitFor('the statement', async () => (await connections()) > SLOTS);
    const address = `127.0.0.1:${fleet.vms.get(NEAR_VM)?.ports.operatorPort}`;
    const args = [PROGRAM, 'endpoint', 'drain', GROUP, LEAVING, '-a', address];
    await promisify(execFile)(process.execPath, args);
    const drainedAtMs = performance.now();
    await waitFor(
      'no connections but for control',
      async () => (await connections()) <= SLOTS,
      SPREAD_MS + DRAIN_TIMEOUT_MS + MARGIN_MS,
    );
    expect(performance.now() - drainedAtMs).to.be.above(DRAIN_TIMEOUT_MS - MARGIN_MS);
    caller.close();
    await long;
    await fleet.stop();
  });
});
