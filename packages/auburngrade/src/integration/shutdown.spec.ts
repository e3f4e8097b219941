import { randomUUID } from 'node:crypto';
import { AccessMode, Verdict, type Outcome } from '@auburngrade/caller';
import { startFleet, waitFor, type Fleet } from '@auburngrade/testkit';
import { expect } from 'chai';

const ADD = 'UPDATE items SET value = value + $1 WHERE key = $2';
const SELECT = 'SELECT value FROM items WHERE key = $1';
const GROUP = 'auctions';
const SESSIONS = 6;
/** A VM without work ends this long after its notice at the latest. */
const EXIT_LIMIT_MS = 3_000;

describe('graceful shutdown', () => {
  let fleet: Fleet;
  let key: string;

  beforeEach(async () => {
    fleet = await startFleet({ vmsPerDataCentre: 2, connectionBudget: 60 });
    await fleet.put('account', 'ranch', { limit: { ratePerS: 100_000, burst: 100_000 } });
    await fleet.put('profile', 'bids', { accounts: ['ranch'], groups: [GROUP] });
    ({ key } = await fleet.issueKey('ranch'));
    await fleet.settle();
  });

  afterEach(async () => {
    await fleet.stop();
  });

  const request = (name: string, isWrite: boolean) => ({
    profile: 'bids',
    group: GROUP,
    accessMode: isWrite ? AccessMode.WRITE : AccessMode.READ,
    sql: isWrite ? ADD : SELECT,
    parameters: isWrite ? [{ text: '1' }, { text: name }] : [{ text: name }],
    requestId: randomUUID(),
    timeoutMs: 5_000,
  });

  const servingVmOf = async (vm: string): Promise<string> => {
    const caller = fleet.caller(vm, key);
    const outcome = await caller.execute(request('probe', true));
    caller.close();
    return outcome.servedBy?.vm ?? '';
  };

  const findVm = async (isHolder: boolean): Promise<string> => {
    for (const { vm } of fleet.names) {
      if (((await servingVmOf(vm)) === vm) === isHolder) return vm;
    }
    throw new Error('no such VM');
  };

  /** Sends requests one after the other until the VM says that it shuts down. */
  const runSession = async (vm: string, name: string, outcomes: (Outcome | Error)[]) => {
    const caller = fleet.caller(vm, key);
    let last: Outcome | Error;
    do {
      const isWrite = outcomes.length % 2 === 0;
      last = await caller.execute(request(name, isWrite)).catch((error: Error) => error);
      outcomes.push(last);
    } while (!(last instanceof Error) && last.refusal?.code !== 'shuttingDown');
    caller.close();
  };

  const describeOutcome = (outcome: Outcome | Error): string =>
    outcome instanceof Error
      ? `cut: ${outcome.message}`
      : `${Verdict[outcome.verdict]} ${outcome.refusal?.code ?? ''}`.trim();

  [true, false].forEach((isHolder) => {
    describe(`of a VM that ${isHolder ? 'holds the pool' : 'forwards'}, under load`, () => {
      it('cuts no request and exits by itself', async () => {
        const leaving = await findVm(isHolder);
        const others = fleet.names.map(({ vm }) => vm).filter((vm) => vm !== leaving);
        const here: (Outcome | Error)[] = [];
        const elsewhere: (Outcome | Error)[] = [];
        let isOver = false;
        const load = Array.from({ length: SESSIONS }, () => runSession(leaving, 'here', here));
        const otherLoad = others.map(async (vm) => {
          const caller = fleet.caller(vm, key);
          while (!isOver) {
            const sent = caller.execute(request('there', elsewhere.length % 2 === 0));
            elsewhere.push(await sent.catch((error: Error) => error));
          }
          caller.close();
        });
        await waitFor('load', () => here.length > 100 && elsewhere.length > 100);
        const startedAtMs = performance.now();
        fleet.vms.get(leaving)?.signal('SIGTERM');
        await Promise.all(load);
        expect(await fleet.vms.get(leaving)?.exited).to.equal(0);
        expect(performance.now() - startedAtMs).to.be.lessThan(EXIT_LIMIT_MS);
        isOver = true;
        await Promise.all(otherLoad);
        const seenHere = new Set(here.map(describeOutcome));
        expect([...seenHere].sort()).to.deep.equal(['NOT_RUN shuttingDown', 'RAN']);
        expect([...new Set(elsewhere.map(describeOutcome))]).to.deep.equal(['RAN']);
      });
    });
  });

  describe('with a transaction open', () => {
    it('waits for its commit, is not ready and takes nothing new', async () => {
      const { vm, ports } = fleet.vms.get(await findVm(true))!;
      const caller = fleet.caller(vm, key);
      const stream = caller.transact();
      const { sql, parameters, ...begin } = { ...request('open', true), sessionToken: '' };
      await stream.step({ $case: 'begin', begin });
      await stream.step({ $case: 'statement', statement: { sql, parameters } });
      fleet.vms.get(vm)?.signal('SIGTERM');
      const health = `http://127.0.0.1:${ports.httpPort}/health`;
      await waitFor('not ready', async () => (await fetch(health)).status === 503);
      const refused = await caller.execute(request('open', false));
      expect(describeOutcome(refused)).to.equal('NOT_RUN shuttingDown');
      expect(refused.refusal?.retryAfterMs).to.be.greaterThan(0);
      const committed = await stream.step({ $case: 'commit', commit: {} });
      expect(Verdict[committed.outcome?.verdict ?? 0]).to.equal('RAN');
      stream.end();
      caller.close();
      expect(await fleet.vms.get(vm)?.exited).to.equal(0);
      expect((await fleet.member(`${GROUP}-m1`).state()).items.open).to.equal('1');
    });
  });
});
