import { randomUUID } from 'node:crypto';
import { setTimeout as sleep } from 'node:timers/promises';
import { AccessMode, Verdict, type Outcome } from '@auburngrade/caller';
import { startFleet, type Fleet } from '@auburngrade/testkit';
import { expect } from 'chai';

const ADD = 'UPDATE items SET value = value + $1 WHERE key = $2';
const SLEEP = 'SELECT pg_sleep($1)';
const GROUP = 'auctions';
const TIMEOUT_MS = 15_000;
/** Of which one has a token at once, and four wait for theirs. */
const WAITING_BEGINS = 5;
const MAX_TOKEN_WAIT_MS = 5_000;
const DRAIN_TIMEOUT_MS = 1_500;
/** Outlasts the drain, the last answers and the servers' grace by far. */
const LONG_SLEEP_S = '9';
/** Time for a request to reach the endpoint, where it waits. */
const UNDER_WAY_MS = 400;
/** From the signal to the end of a process with work that does not end: drain, answers, release of slots. */
const EXIT_LIMIT_MS = 6_000;

describe('a VM that stops answers all that it accepted', () => {
  let fleet: Fleet;
  let key: string;

  beforeEach(async () => {
    fleet = await startFleet({
      vmsPerDataCentre: 2,
      connectionBudget: 60,
      vmSettings: {
        shutdown: { noticeMs: 300, drainTimeoutMs: DRAIN_TIMEOUT_MS },
        admission: { maxWaitMs: MAX_TOKEN_WAIT_MS },
      },
    });
    await fleet.put('account', 'ranch', { limit: { ratePerS: 100_000, burst: 100_000 } });
    await fleet.put('account', 'slow', { limit: { ratePerS: 1, burst: 1 } });
    await fleet.put('profile', 'bids', { accounts: ['ranch', 'slow'], groups: [GROUP] });
    ({ key } = await fleet.issueKey('ranch'));
    await fleet.settle();
  });

  afterEach(async () => {
    await fleet.stop();
  });

  const request = (sql: string, ...texts: string[]) => ({
    profile: 'bids',
    group: GROUP,
    accessMode: sql === ADD ? AccessMode.WRITE : AccessMode.READ,
    sql,
    parameters: texts.map((text) => ({ text })),
    requestId: randomUUID(),
    timeoutMs: TIMEOUT_MS,
  });

  const describeOutcome = (outcome: Outcome | undefined): string =>
    `${Verdict[outcome?.verdict ?? 0]} ${outcome?.refusal?.code ?? ''}`.trim();

  const describeAnswer = (answer: Promise<Outcome | undefined>): Promise<string> =>
    answer.then(describeOutcome, (error: Error) => `cut: ${error.message}`);

  /** Sends one statement; resolves with its answer, or says that it was cut. */
  const send = (vm: string, sql: string, ...texts: string[]): Promise<string> => {
    const caller = fleet.caller(vm, key);
    return describeAnswer(caller.execute(request(sql, ...texts))).finally(caller.close);
  };

  const openTransaction = (vm: string, callerKey = key) => {
    const caller = fleet.caller(vm, callerKey);
    const stream = caller.transact();
    const { sql, parameters, ...fields } = request(ADD);
    const step = (text: string, ...texts: string[]) => {
      const statement = { sql: text, parameters: texts.map((value) => ({ text: value })) };
      return stream.step({ $case: 'statement', statement });
    };
    return {
      begin: () =>
        describeAnswer(
          stream
            .step({ $case: 'begin', begin: { ...fields, sessionToken: '' } })
            .then(({ outcome }) => outcome),
        ),
      step,
      run: (text: string, ...texts: string[]) =>
        describeAnswer(step(text, ...texts).then(({ outcome }) => outcome)),
      commit: () =>
        describeAnswer(stream.step({ $case: 'commit', commit: {} }).then(({ outcome }) => outcome)),
      close: () => {
        stream.end();
        caller.close();
      },
    };
  };

  const findVm = async (isHolder: boolean): Promise<string> => {
    for (const { vm } of fleet.names) {
      const caller = fleet.caller(vm, key);
      const outcome = await caller.execute(request(ADD, '1', 'probe'));
      caller.close();
      if ((outcome.servedBy?.vm === vm) === isHolder) return vm;
    }
    throw new Error('no such VM');
  };

  /** A transaction that holds the lock of an item, and does not run over the VM. */
  const openLockHolder = async (vm: string, item: string) => {
    for (const { vm: entry } of fleet.names.filter((name) => name.vm !== vm)) {
      const transaction = openTransaction(entry);
      expect(await transaction.begin()).to.equal('RAN');
      const { outcome } = await transaction.step(ADD, '10', item);
      expect(describeOutcome(outcome)).to.equal('RAN');
      if (outcome?.servedBy?.vm !== vm) return transaction;
      transaction.close();
    }
    throw new Error('no other VM holds the pool');
  };

  const valueOf = async (item: string): Promise<number> =>
    Number((await fleet.member(`${GROUP}-m1`).state()).items[item] ?? 0);

  const signal = (vm: string, ...names: NodeJS.Signals[]): void =>
    names.forEach((name) => fleet.vms.get(vm)?.signal(name));

  const exitCodeOf = (vm: string) => fleet.vms.get(vm)?.exited;

  [true, false].forEach((isHolder) => {
    describe(`with work that outlasts the drain, at a VM that ${isHolder ? 'holds the pool' : 'forwards'}`, () => {
      it('answers a read', async () => {
        const vm = await findVm(isHolder);
        const answer = send(vm, SLEEP, LONG_SLEEP_S);
        await sleep(UNDER_WAY_MS);
        signal(vm, 'SIGTERM');
        expect(await answer).to.match(/^(MAY_HAVE_RUN|NOT_RUN) /);
        expect(await exitCodeOf(vm)).to.equal(0);
      });

      it('answers a write that waits for a lock, truthfully, and ends in time', async () => {
        const vm = await findVm(isHolder);
        const holder = await openLockHolder(vm, 'locked');
        const answer = send(vm, ADD, '1', 'locked');
        await sleep(UNDER_WAY_MS);
        signal(vm, 'SIGTERM');
        const startedAtMs = performance.now();
        const verdict = await answer;
        expect(verdict).to.match(/^(MAY_HAVE_RUN|NOT_RUN) /);
        expect(await exitCodeOf(vm)).to.equal(0);
        expect(performance.now() - startedAtMs).to.be.below(EXIT_LIMIT_MS);
        await holder.commit();
        holder.close();
        await sleep(UNDER_WAY_MS);
        if (verdict.startsWith('NOT_RUN')) expect(await valueOf('locked')).to.be.oneOf([0, 10]);
      });

      it('answers the statement of an open transaction', async () => {
        const vm = await findVm(isHolder);
        const transaction = openTransaction(vm);
        expect(await transaction.begin()).to.equal('RAN');
        expect(await transaction.run(ADD, '1', 'open')).to.equal('RAN');
        const answer = transaction.run(SLEEP, LONG_SLEEP_S);
        await sleep(UNDER_WAY_MS);
        signal(vm, 'SIGTERM');
        expect(await answer).to.equal('NOT_RUN transactionAborted');
        transaction.close();
        expect(await exitCodeOf(vm)).to.equal(0);
        expect(await valueOf('open')).to.equal(0);
      });
    });
  });

  describe('with begins that wait for their rate limit', () => {
    it('runs them or refuses them as not run', async () => {
      const { key: slowKey } = await fleet.issueKey('slow');
      await fleet.settle();
      const vm = await findVm(true);
      const transactions = Array.from({ length: WAITING_BEGINS }, () =>
        openTransaction(vm, slowKey),
      );
      const answers = transactions.map((transaction) => transaction.begin());
      await sleep(UNDER_WAY_MS);
      signal(vm, 'SIGTERM');
      const verdicts = await Promise.all(answers);
      transactions.forEach((transaction) => transaction.close());
      expect(verdicts.filter((verdict) => verdict === 'NOT_RUN shuttingDown')).to.not.deep.equal(
        [],
      );
      expect(verdicts.filter((verdict) => verdict.startsWith('cut'))).to.deep.equal([]);
    });
  });
});
