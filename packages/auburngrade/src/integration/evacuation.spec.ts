import { execFile } from 'node:child_process';
import { resolve } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { promisify } from 'node:util';
import { AccessMode, Verdict, type Outcome } from '@auburngrade/caller';
import { startFleet, waitFor, type Fleet } from '@auburngrade/testkit';
import { expect } from 'chai';
import createWriteStream from './writeStream/createWriteStream';
import expectOneEffect from './writeStream/expectOneEffect';
import readTerm from './writeStream/readTerm';

const PROGRAM = resolve(import.meta.dirname, '../../../../dist/auburngrade.cjs');
const GROUP = 'auctions';
const DATA_CENTRES = ['waco', 'temple', 'bryan'];
const VMS = DATA_CENTRES.map((dataCentre) => `${dataCentre}-1`);
const SLOTS = 3;
const READ = "SELECT value FROM items WHERE key = 'bale'";
const ADD = "UPDATE items SET value = value + 1 WHERE key = 'bale'";
const TIMEOUT_MS = 3_000;
const READ_INTERVAL_MS = 5;
const DRAIN_TIMEOUT_MS = 2_000;
/** A change of the configuration is in force everywhere by then. */
const SPREAD_MS = 6_000;
const MARGIN_MS = 1_500;
/** A refusal at once takes less than this, also on a busy machine. */
const AT_ONCE_MS = 1_000;

interface Answer {
  sentAtMs: number;
  answeredAtMs: number;
  outcome: Outcome;
}

const codesOf = (answers: Answer[]): (string | undefined)[] =>
  answers
    .filter(({ outcome }) => outcome.verdict !== Verdict.RAN)
    .map(({ outcome }) => outcome.refusal?.code);

describe('an evacuation that the store has lost', () => {
  let fleet: Fleet;

  after(() => fleet.stop());

  it('is in force until operators restore the data centre', async () => {
    fleet = await startFleet({ dataCentres: ['waco', 'temple'], groups: [] });
    await fleet.settle();
    const { revision } = await fleet.platform.counts();
    const run = async (action: string): Promise<void> => {
      const address = `127.0.0.1:${fleet.vms.get('temple-1')?.ports.operatorPort}`;
      const args = [PROGRAM, 'data-centre', action, 'waco', '-a', address];
      await promisify(execFile)(process.execPath, args);
    };
    const awaitState = (evacuated: string[]) =>
      waitFor(
        `evacuated everywhere: ${evacuated.join()}`,
        async () => {
          const found = await Promise.all(fleet.names.map(({ vm }) => fleet.statusOf(vm)));
          return found.every(
            ({ evacuatedDataCentres }) => String(evacuatedDataCentres) === evacuated.join(),
          );
        },
        SPREAD_MS,
      );
    await run('evacuate');
    await awaitState(['waco']);
    await fleet.platform.restore(revision ?? 0);
    await sleep(MARGIN_MS);
    await awaitState(['waco']);
    await run('restore');
    await awaitState([]);
  });
});

describe('evacuation of data centres', () => {
  let fleet: Fleet;
  let key: string;
  let callers: ReturnType<Fleet['caller']>[] = [];

  const change = async (action: 'evacuate' | 'restore', dataCentre: string): Promise<void> => {
    const address = `127.0.0.1:${fleet.vms.get('temple-1')?.ports.operatorPort}`;
    const args = [PROGRAM, 'data-centre', action, dataCentre, '-a', address];
    await promisify(execFile)(process.execPath, args);
  };

  const execute = async (
    index: number,
    accessMode: AccessMode,
    timeoutMs = TIMEOUT_MS,
  ): Promise<Answer> => {
    const sentAtMs = performance.now();
    const sql = accessMode === AccessMode.READ ? READ : ADD;
    const statement = { profile: 'bids', group: GROUP, accessMode, sql, timeoutMs };
    const outcome = await callers[index % callers.length]?.execute(statement);
    if (!outcome) throw new Error('no caller');
    return { sentAtMs, answeredAtMs: performance.now(), outcome };
  };

  /** Reads through all VMs in turn until stopped. */
  const startReads = () => {
    const pending: Promise<Answer>[] = [];
    const timer = setInterval(
      () => pending.push(execute(pending.length, AccessMode.READ)),
      READ_INTERVAL_MS,
    );
    return (): Promise<Answer[]> => {
      clearInterval(timer);
      return Promise.all(pending);
    };
  };

  const memberIn = (dataCentre: string): string =>
    fleet.members.find((member) => member.dataCentre === dataCentre)?.name ?? '';

  const primary = async (): Promise<string> => (await readTerm(fleet, GROUP))?.primary ?? '';

  const awaitPrimaryOutside = (names: string[]) =>
    waitFor(
      `a primary other than ${names.join()}`,
      async () => {
        const record = await readTerm(fleet, GROUP);
        const isElsewhere = record?.primary !== undefined && !names.includes(record.primary);
        return record?.state === 'active' && isElsewhere ? record : undefined;
      },
      SPREAD_MS + MARGIN_MS,
    );

  const awaitNoDataConnections = (member: string) =>
    waitFor(
      'no connections but for control',
      async () => (await fleet.member(member).state()).connections <= SLOTS,
      SPREAD_MS + DRAIN_TIMEOUT_MS + MARGIN_MS,
    );

  const gaugeOf = async (vm: string, dataCentre: string): Promise<string | undefined> => {
    const page = await fetch(`http://127.0.0.1:${fleet.vms.get(vm)?.ports.httpPort}/metrics`);
    const name = `auburngrade_data_centre_evacuated{data_centre="${dataCentre}"} `;
    const lines = (await page.text()).split('\n');
    return lines.find((line) => line.startsWith(name))?.slice(name.length);
  };

  const awaitEvacuated = (vm: string, dataCentre: string) =>
    waitFor(
      `${dataCentre} evacuated on ${vm}`,
      async () => (await gaugeOf(vm, dataCentre)) === '1',
      SPREAD_MS,
    );

  const awaitWrites = () =>
    waitFor('writes through each VM', async () => {
      const writes = VMS.map((_, index) => execute(index, AccessMode.WRITE));
      return codesOf(await Promise.all(writes)).length === 0;
    });

  before(async () => {
    fleet = await startFleet({ connectionBudget: 60 });
    await fleet.put('account', 'ranch', { limit: { ratePerS: 100_000, burst: 100_000 } });
    await fleet.put('profile', 'bids', { accounts: ['ranch'], groups: [GROUP] });
    ({ key } = await fleet.issueKey('ranch'));
    await fleet.settle();
    callers = VMS.map((vm) => fleet.caller(vm, key));
    await awaitWrites();
  });

  after(async () => {
    callers.forEach((caller) => caller.close());
    await fleet.stop();
  });

  describe('with the primary in the data centre', () => {
    it('replaces it, keeps it as a voter and sends it nothing; no write is lost or doubled', async () => {
      const evacuated = await primary();
      expect(evacuated).to.equal(memberIn('waco'));
      const stream = createWriteStream({ fleet, key, group: GROUP, vms: VMS });
      const stopReads = startReads();
      await waitFor('writes', () => stream.ranCount() > 50);
      await change('evacuate', 'waco');
      const inForceAtMs = performance.now() + SPREAD_MS;
      const record = await awaitPrimaryOutside([evacuated]);
      expect(record.voters).to.include(evacuated);
      await awaitNoDataConnections(evacuated);
      await sleep(Math.max(0, inForceAtMs + MARGIN_MS - performance.now()));
      const late = (await stopReads()).filter(({ sentAtMs }) => sentAtMs > inForceAtMs);
      expect(late).to.have.length.above(50);
      expect(late.map(({ outcome }) => outcome.servedBy?.endpoint)).not.to.include(evacuated);
      expect(codesOf(late)).to.deep.equal([]);
      const tally = await expectOneEffect(fleet, GROUP, stream);
      expect(tally.mayHaveRunCount).to.equal(0);
      expect((await fleet.member(evacuated).state()).connections).to.be.at.most(SLOTS);
    });
  });

  describe('with the platform away after the change', () => {
    it('is in force on a VM that starts meanwhile', async () => {
      await fleet.platform.setFault('isDown', 1);
      await fleet.vms.get('waco-1')?.kill();
      await fleet.start('waco-1', 'waco');
      await awaitEvacuated('waco-1', 'waco');
      const reads = await Promise.all(VMS.map((_, index) => execute(index, AccessMode.READ)));
      const served = reads.map(({ outcome }) => outcome.servedBy?.endpoint);
      expect(served).not.to.include(memberIn('waco'));
      await fleet.platform.setFault('isDown', 0);
      await awaitWrites();
    });
  });

  describe('when the data centre is restored', () => {
    it('reads there again, under the primary of the evacuation', async () => {
      const kept = await primary();
      await change('restore', 'waco');
      await waitFor(
        'a read by the endpoint',
        async () =>
          (await execute(0, AccessMode.READ)).outcome.servedBy?.endpoint === memberIn('waco'),
        SPREAD_MS + 10_000,
      );
      expect(await primary()).to.equal(kept);
      expect(await gaugeOf('waco-1', 'waco')).to.equal('0');
    });
  });

  describe('with an open transaction on a replica in the data centre', () => {
    it('rolls it back at the end of the drain time', async () => {
      const stream = callers.at(-1)?.transact();
      if (!stream) throw new Error('no caller');
      const begin = {
        profile: 'bids',
        group: GROUP,
        accessMode: AccessMode.READ,
        sessionToken: '',
        requestId: '',
        timeoutMs: 20_000,
      };
      const run = () =>
        stream.step({ $case: 'statement', statement: { sql: READ, parameters: [] } });
      await stream.step({ $case: 'begin', begin });
      const servedBy = (await run()).outcome?.servedBy;
      expect(servedBy?.role).to.equal('replica');
      const endpoint = servedBy?.endpoint ?? '';
      const { dataCentre } = fleet.member(endpoint);
      await change('evacuate', dataCentre);
      await awaitEvacuated(servedBy?.vm ?? '', dataCentre);
      const knownAtMs = performance.now();
      const { outcome } = await waitFor(
        'the end of the transaction',
        async () => {
          const reply = await run();
          return reply.outcome?.verdict === Verdict.RAN ? undefined : reply;
        },
        DRAIN_TIMEOUT_MS + MARGIN_MS,
      );
      expect(performance.now() - knownAtMs).to.be.above(DRAIN_TIMEOUT_MS - MARGIN_MS);
      expect(outcome?.verdict).to.equal(Verdict.NOT_RUN);
      expect(outcome?.refusal?.code).to.equal('transactionAborted');
      await awaitNoDataConnections(endpoint);
      stream.end();
      await change('restore', dataCentre);
    });
  });

  describe('of every data centre with a member', () => {
    it('refuses reads and writes at once as not run, until one is restored', async () => {
      await awaitWrites();
      for (const dataCentre of DATA_CENTRES) await change('evacuate', dataCentre);
      for (const vm of VMS)
        for (const dataCentre of DATA_CENTRES) await awaitEvacuated(vm, dataCentre);
      await sleep(DRAIN_TIMEOUT_MS + MARGIN_MS);
      const modes = [AccessMode.READ, AccessMode.WRITE];
      const answers = await Promise.all(
        VMS.flatMap((_, index) => modes.map((mode) => execute(index, mode, 2 * TIMEOUT_MS))),
      );
      expect(new Set(codesOf(answers))).to.deep.equal(new Set(['dataCentreEvacuated']));
      answers.forEach(({ outcome, sentAtMs, answeredAtMs }) => {
        expect(outcome.verdict).to.equal(Verdict.NOT_RUN);
        expect(answeredAtMs - sentAtMs).to.be.below(AT_ONCE_MS);
      });
      await change('restore', 'bryan');
      await awaitWrites();
      expect(await primary()).to.equal(memberIn('bryan'));
    });
  });
});

describe('evacuation of a data centre with most members of a group', () => {
  let fleet: Fleet;

  after(() => fleet.stop());

  it('moves the primary to the one member elsewhere, which then runs all statements', async () => {
    fleet = await startFleet({ dataCentres: ['waco', 'temple'], connectionBudget: 60 });
    await fleet.put('account', 'ranch', { limit: { ratePerS: 100_000, burst: 100_000 } });
    await fleet.put('profile', 'bids', { accounts: ['ranch'], groups: [GROUP] });
    const { key } = await fleet.issueKey('ranch');
    await fleet.settle();
    const vms = fleet.names.map(({ vm }) => vm);
    const stream = createWriteStream({ fleet, key, group: GROUP, vms });
    await waitFor('writes', () => stream.ranCount() > 50);
    await fleet.put('dataCentre', 'waco', { state: 'evacuated' });
    const staying = fleet.members.find(({ dataCentre }) => dataCentre === 'temple')?.name ?? '';
    const isMoved = async () => (await readTerm(fleet, GROUP))?.primary === staying;
    await waitFor('the primary elsewhere', isMoved, SPREAD_MS + MARGIN_MS);
    await sleep(DRAIN_TIMEOUT_MS + MARGIN_MS);
    const ranBefore = stream.ranCount();
    await waitFor('writes under the new term', () => stream.ranCount() > ranBefore + 100);
    const callers = vms.map((vm) => fleet.caller(vm, key));
    const statement = { profile: 'bids', group: GROUP, accessMode: AccessMode.READ, sql: READ };
    const reads = await Promise.all(
      callers.map((caller) => caller.execute({ ...statement, timeoutMs: TIMEOUT_MS })),
    );
    callers.forEach((caller) => caller.close());
    expect(reads.map(({ servedBy }) => servedBy?.endpoint)).to.deep.equal(vms.map(() => staying));
    const tally = await expectOneEffect(fleet, GROUP, stream);
    expect(tally.mayHaveRunCount).to.equal(0);
    const record = await readTerm(fleet, GROUP);
    expect(record?.voters).to.have.length(fleet.members.length);
  });

  it('keeps its callers waiting no longer than the drain time when that member dies', async () => {
    const staying = fleet.members.find(({ dataCentre }) => dataCentre === 'temple');
    await staying?.kill();
    const caller = fleet.caller('waco-1', (await fleet.issueKey('ranch')).key);
    const statement = { profile: 'bids', group: GROUP, accessMode: AccessMode.WRITE, sql: ADD };
    await waitFor('a refusal for the evacuation', async () => {
      const startedAtMs = performance.now();
      const { verdict, refusal } = await caller.execute({ ...statement, timeoutMs: TIMEOUT_MS });
      expect(verdict).not.to.equal(Verdict.RAN);
      const isAtOnce = performance.now() - startedAtMs < AT_ONCE_MS;
      return refusal?.code === 'dataCentreEvacuated' && verdict === Verdict.NOT_RUN && isAtOnce;
    });
    await fleet.put('dataCentre', 'waco', { state: 'inService' });
    await waitFor('writes again', async () => {
      const { verdict } = await caller.execute({ ...statement, timeoutMs: TIMEOUT_MS });
      return verdict === Verdict.RAN;
    });
    caller.close();
  });
});
