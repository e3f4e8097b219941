import { randomUUID } from 'node:crypto';
import { setTimeout as sleep } from 'node:timers/promises';
import { AccessMode, TransactionBegin, Verdict, type TransactionReply } from '@auburngrade/caller';
import { startFleet, waitFor, type Fleet } from '@auburngrade/testkit';
import { expect } from 'chai';

const ADD = 'UPDATE items SET value = value + $1 WHERE key = $2';
const SELECT = 'SELECT value FROM items WHERE key = $1';
const GROUP = 'auctions';
const TIMEOUT_MS = 10_000;
/** Locks of a transaction whose entry VM is paused are free at its deadline at the latest. */
const SHORT_TIMEOUT_MS = 2_500;
const FREED_WITHIN_MS = 4_000;
/** Keepalive between VMs gives a silent connection up within this time. */
const SILENCE_SEEN_WITHIN_MS = 3_000;
const COMMITS = 24;

describe('transactions under faults', () => {
  let fleet: Fleet;
  let key: string;

  before(async () => {
    fleet = await startFleet({ vmsPerDataCentre: 2, connectionBudget: 270, hasFaultLinks: true });
    await fleet.put('account', 'ranch', { limit: { ratePerS: 100_000, burst: 100_000 } });
    await fleet.put('profile', 'open', { openToAll: true, groups: [GROUP] });
    await fleet.put('profile', 'bids', { accounts: ['ranch'], groups: [GROUP] });
    ({ key } = await fleet.issueKey('ranch'));
    await fleet.settle();
  });

  after(async () => {
    await fleet.stop();
  });

  const begin = (timeoutMs: number) => ({
    $case: 'begin' as const,
    begin: TransactionBegin.fromPartial({
      profile: 'open',
      group: GROUP,
      accessMode: AccessMode.WRITE,
      requestId: randomUUID(),
      timeoutMs,
    }),
  });

  const open = (vm: string) => {
    const caller = fleet.caller(vm, key);
    const stream = caller.transact();
    return {
      begin: (timeoutMs = TIMEOUT_MS) => stream.step(begin(timeoutMs)),
      run: (sql: string, ...texts: string[]) => {
        const parameters = texts.map((text) => ({ text }));
        return stream.step({ $case: 'statement', statement: { sql, parameters } });
      },
      rollback: () => stream.step({ $case: 'rollback', rollback: {} }),
      commit: () => stream.step({ $case: 'commit', commit: {} }),
      close: () => {
        stream.end();
        caller.close();
      },
    };
  };

  const describeReply = ({ outcome }: TransactionReply): string =>
    `${Verdict[outcome?.verdict ?? 0]} ${outcome?.refusal?.code ?? ''}`.trim();

  const describeStep = (step: Promise<TransactionReply>): Promise<string> =>
    step.then(describeReply, () => 'stream lost');

  const valueOf = async (item: string): Promise<number> => {
    const states = await Promise.all(fleet.members.map((member) => member.state()));
    return Number(states.find(({ role }) => role === 'primary')?.items[item] ?? 0);
  };

  /** A transaction that has added 1 to an item over a holder that the entry VM forwards to. */
  const openForwarded = async (item: string, timeoutMs = TIMEOUT_MS) => {
    for (const { vm: entry } of fleet.names) {
      const transaction = open(entry);
      expect(await describeStep(transaction.begin(timeoutMs))).to.equal('RAN');
      const { outcome } = await transaction.run(SELECT, item);
      const holder = outcome?.servedBy?.vm ?? '';
      if (holder !== entry) {
        expect(await describeStep(transaction.run(ADD, '1', item))).to.equal('RAN');
        const others = fleet.names
          .map(({ vm }) => vm)
          .filter((vm) => ![entry, holder].includes(vm));
        return { transaction, entry, holder, other: others[0] ?? '' };
      }
      await transaction.rollback();
      transaction.close();
    }
    throw new Error('no VM forwards');
  };

  /** The VM that serves a write through another one. */
  const servedBy = async (entry: string): Promise<string | undefined> => {
    const caller = fleet.caller(entry, key);
    const outcome = await caller.execute({
      ...begin(TIMEOUT_MS).begin,
      sql: ADD,
      parameters: [{ text: '1' }, { text: 'elsewhere' }],
    });
    caller.close();
    expect(Verdict[outcome.verdict], outcome.refusal?.message).to.equal('RAN');
    return outcome.servedBy?.vm;
  };

  /** Adds 10 to an item in a transaction of its own as soon as its lock is free. */
  const addTenThrough = (vm: string, item: string, withinMs: number) =>
    waitFor(
      `the lock of ${item}`,
      async () => {
        const transaction = open(vm);
        const steps = [
          await describeStep(transaction.begin(1_000)),
          await describeStep(transaction.run(ADD, '10', item)),
          await describeStep(transaction.commit()),
        ];
        transaction.close();
        return steps.every((step) => step === 'RAN');
      },
      withinMs,
    );

  const startAgain = async (vm: string): Promise<void> => {
    await fleet.start(vm, fleet.names.find((name) => name.vm === vm)!.dataCentre);
    await fleet.settle();
  };

  describe('with the holder VM paused', () => {
    it('are aborted in time, truthfully, and free their locks once it wakes', async () => {
      const { transaction, holder, other } = await openForwarded('holder-paused');
      fleet.vms.get(holder)?.signal('SIGSTOP');
      const startedAtMs = performance.now();
      const step = await describeStep(transaction.run(ADD, '1', 'holder-paused'));
      expect(step).to.equal('NOT_RUN transactionAborted');
      expect(performance.now() - startedAtMs).to.be.lessThan(SILENCE_SEEN_WITHIN_MS);
      expect(await describeStep(transaction.commit())).to.equal('NOT_RUN transactionAborted');
      transaction.close();
      fleet.vms.get(holder)?.signal('SIGCONT');
      await addTenThrough(other, 'holder-paused', FREED_WITHIN_MS);
      expect(await valueOf('holder-paused')).to.equal(10);
    });

    it('go on after a pause that is shorter, also when other requests left it', async () => {
      const { transaction, entry, holder } = await openForwarded('short-pause');
      await waitFor('the holder in use', async () => (await servedBy(entry)) === holder);
      fleet.vms.get(holder)?.signal('SIGSTOP');
      expect(await servedBy(entry)).to.not.equal(holder);
      fleet.vms.get(holder)?.signal('SIGCONT');
      expect(await describeStep(transaction.run(ADD, '1', 'short-pause'))).to.equal('RAN');
      expect(await describeStep(transaction.commit())).to.equal('RAN');
      transaction.close();
      expect(await valueOf('short-pause')).to.equal(2);
    });
  });

  describe('with the entry VM paused', () => {
    it('free their locks at their deadline, and commit nothing when it wakes', async () => {
      const { transaction, entry, other } = await openForwarded('entry-paused', SHORT_TIMEOUT_MS);
      fleet.vms.get(entry)?.signal('SIGSTOP');
      await addTenThrough(other, 'entry-paused', FREED_WITHIN_MS);
      const committing = describeStep(transaction.commit());
      fleet.vms.get(entry)?.signal('SIGCONT');
      expect(['NOT_RUN transactionAborted', 'stream lost']).to.include(await committing);
      transaction.close();
      expect(await valueOf('entry-paused')).to.equal(10);
    });
  });

  describe('with the entry VM killed', () => {
    it('are rolled back at once', async () => {
      const { transaction, entry, other } = await openForwarded('entry-killed');
      await fleet.vms.get(entry)?.kill();
      expect(await describeStep(transaction.commit())).to.equal('stream lost');
      transaction.close();
      await addTenThrough(other, 'entry-killed', FREED_WITHIN_MS);
      expect(await valueOf('entry-killed')).to.equal(10);
      await startAgain(entry);
    });
  });

  describe('with the holder VM killed while they commit', () => {
    it('tell the truth, and leave nothing half done', async () => {
      const { transaction: probe, entry, holder, other } = await openForwarded('commits');
      await probe.rollback();
      probe.close();
      await waitFor('the holder in use', async () => (await servedBy(entry)) === holder);
      const transactions = await Promise.all(
        Array.from({ length: COMMITS }, async (_, index) => {
          const transaction = open(entry);
          // Two rows each: a transaction that is half done would show by one of them.
          const steps = [
            await describeStep(transaction.begin()),
            await describeStep(transaction.run(ADD, '1', `first-${index}`)),
            await describeStep(transaction.run(ADD, '1', `second-${index}`)),
          ];
          expect(steps).to.deep.equal(['RAN', 'RAN', 'RAN']);
          return transaction;
        }),
      );
      const committing = transactions.map((transaction, index) =>
        sleep(index).then(() => describeStep(transaction.commit())),
      );
      await sleep(COMMITS / 2);
      await fleet.vms.get(holder)?.kill();
      const verdicts = await Promise.all(committing);
      transactions.forEach((transaction) => transaction.close());
      await addTenThrough(other, `first-${COMMITS - 1}`, FREED_WITHIN_MS);
      for (const [index, verdict] of verdicts.entries()) {
        const added = index === COMMITS - 1 ? 10 : 0;
        const first = (await valueOf(`first-${index}`)) - added;
        expect(first, verdict).to.equal(await valueOf(`second-${index}`));
        if (verdict === 'RAN') expect(first).to.equal(1);
        if (verdict.startsWith('NOT_RUN')) expect(first).to.equal(0);
        expect(verdict).to.match(/^(RAN|NOT_RUN transactionAborted|MAY_HAVE_RUN outcomeUnknown)$/);
      }
      await startAgain(holder);
    });
  });

  describe('over a connection that goes silent', () => {
    it('are aborted in time, and free their locks', async () => {
      const { transaction, entry, holder, other } = await openForwarded('silent', SHORT_TIMEOUT_MS);
      fleet.link(entry, holder).silenceOpenConnections();
      const startedAtMs = performance.now();
      const step = await describeStep(transaction.run(ADD, '1', 'silent'));
      expect(step).to.equal('NOT_RUN transactionAborted');
      expect(performance.now() - startedAtMs).to.be.lessThan(SILENCE_SEEN_WITHIN_MS);
      transaction.close();
      await addTenThrough(other, 'silent', FREED_WITHIN_MS);
      expect(await valueOf('silent')).to.equal(10);
      const next = open(entry);
      expect(await describeStep(next.begin())).to.equal('RAN');
      next.close();
    });
  });
});
