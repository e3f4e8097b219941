import { randomUUID } from 'node:crypto';
import { AccessMode, Verdict, type TransactionReply } from '@auburngrade/caller';
import { startFleet, waitFor, type Fleet } from '@auburngrade/testkit';
import { expect } from 'chai';

const ADD = 'UPDATE items SET value = value + $1 WHERE key = $2';
const SELECT = 'SELECT value FROM items WHERE key = $1';
const GROUP = 'auctions';

describe('interactive transactions', () => {
  let fleet: Fleet;
  let key: string;
  let keyId: string;

  before(async () => {
    fleet = await startFleet({
      dataCentres: ['waco', 'temple', 'bryan'],
      vmsPerDataCentre: 2,
      hasFaultLinks: true,
      connectionBudget: 60,
    });
    await fleet.put('account', 'ranch', { limit: { ratePerS: 10_000, burst: 10_000 } });
    await fleet.put('profile', 'bids', { accounts: ['ranch'], groups: [GROUP] });
    ({ key, keyId } = await fleet.issueKey('ranch'));
    await fleet.settle();
  });

  after(async () => {
    await fleet.stop();
  });

  const open = (vm: string, usedKey = key) => {
    const caller = fleet.caller(vm, usedKey);
    const stream = caller.transact();
    return {
      begin: (requestId: string = randomUUID(), timeoutMs = 10_000) =>
        stream.step({
          $case: 'begin',
          begin: {
            profile: 'bids',
            group: GROUP,
            accessMode: AccessMode.WRITE,
            sessionToken: '',
            requestId,
            timeoutMs,
          },
        }),
      run: (sql: string, ...texts: string[]) => {
        const parameters = texts.map((text) => ({ text }));
        return stream.step({ $case: 'statement', statement: { sql, parameters } });
      },
      commit: () => stream.step({ $case: 'commit', commit: {} }),
      rollback: () => stream.step({ $case: 'rollback', rollback: {} }),
      cancel: stream.cancel,
      close: () => {
        stream.end();
        caller.close();
      },
    };
  };

  const verdictOf = ({ outcome }: TransactionReply): string =>
    `${Verdict[outcome?.verdict ?? 0]} ${outcome?.refusal?.code ?? ''}`.trim();

  const valueOf = async (name: string): Promise<string | null | undefined> =>
    (await fleet.member(`${GROUP}-m1`).state()).items[name];

  /** The VMs that answer without and with a forward. */
  const vmsByHolding = async (): Promise<{ holding: string[]; forwarding: string[] }> => {
    const servers = new Map<string, string>();
    for (const { vm } of fleet.names) {
      const transaction = open(vm);
      await transaction.begin();
      const reply = await transaction.run(SELECT, 'none');
      servers.set(vm, reply.outcome?.servedBy?.vm ?? '');
      await transaction.rollback();
      transaction.close();
    }
    const all = [...servers.keys()];
    return {
      holding: all.filter((vm) => servers.get(vm) === vm),
      forwarding: all.filter((vm) => servers.get(vm) !== vm),
    };
  };

  describe('through a VM that holds the pool and one that forwards', () => {
    it('commit, roll back, and show nothing of each other', async () => {
      const { holding, forwarding } = await vmsByHolding();
      for (const vm of [holding[0]!, forwarding[0]!]) {
        const first = open(vm);
        const second = open(vm);
        expect(verdictOf(await first.begin())).to.equal('RAN');
        expect(verdictOf(await second.begin())).to.equal('RAN');
        await first.run(ADD, '5', `${vm}/first`);
        await second.run(ADD, '7', `${vm}/second`);
        const unseen = await second.run(SELECT, `${vm}/first`);
        expect(unseen.outcome?.rows?.rows).to.deep.equal([]);
        const committed = await first.commit();
        expect(verdictOf(committed)).to.equal('RAN');
        expect(committed.outcome?.sessionToken).to.not.equal('');
        expect(verdictOf(await second.rollback())).to.equal('RAN');
        expect(await valueOf(`${vm}/first`)).to.equal('5');
        expect(await valueOf(`${vm}/second`)).to.equal(undefined);
        expect(verdictOf(await first.run(ADD, '1', 'x'))).to.equal('NOT_RUN transactionAborted');
        [first, second].forEach((transaction) => transaction.close());
      }
    });

    it('refuse statements that would end or escape the transaction', async () => {
      const transaction = open(fleet.names[0]!.vm);
      await transaction.begin();
      for (const sql of ['COMMIT', '/* /* */ */ commit', ';ROLLBACK', 'SET a = 1', '']) {
        expect(verdictOf(await transaction.run(sql)), sql).to.equal('NOT_RUN badRequest');
      }
      expect(verdictOf(await transaction.commit())).to.equal('RAN');
      transaction.close();
    });
  });

  describe('whose stream is lost', () => {
    it('are rolled back and free their rows', async () => {
      const { holding, forwarding } = await vmsByHolding();
      for (const vm of [holding[0]!, forwarding[0]!]) {
        const lost = open(vm);
        await lost.begin();
        await lost.run(ADD, '1', `${vm}/lost`);
        lost.cancel();
        const next = open(vm);
        await next.begin();
        expect(verdictOf(await next.run(ADD, '2', `${vm}/lost`))).to.equal('RAN');
        expect(verdictOf(await next.commit())).to.equal('RAN');
        expect(await valueOf(`${vm}/lost`)).to.equal('2');
        next.close();
      }
    });
  });

  describe('whose VM is killed', () => {
    it('are rolled back: nothing of them is committed', async () => {
      const { holding, forwarding } = await vmsByHolding();
      const [holder, entry] = [holding.at(-1)!, forwarding.at(-1)!];
      const direct = open(holder);
      const forwarded = open(entry);
      await direct.begin();
      await forwarded.begin();
      await direct.run(ADD, '1', 'killed/direct');
      const reply = await forwarded.run(ADD, '1', 'killed/forwarded');
      const remote = reply.outcome?.servedBy?.vm ?? '';
      for (const vm of new Set([holder, remote])) await fleet.vms.get(vm)?.kill();
      const afterwards = await forwarded.run(ADD, '1', 'killed/forwarded');
      expect(verdictOf(afterwards)).to.equal('NOT_RUN transactionAborted');
      expect(verdictOf(await forwarded.commit())).to.equal('NOT_RUN transactionAborted');
      const directCommit = await direct.commit().then(verdictOf, () => 'stream lost');
      expect(directCommit).to.equal('stream lost');
      const next = open(entry);
      await waitFor('a transaction over another holder', async () => {
        const attempt = open(entry);
        const begun = verdictOf(await attempt.begin());
        const ran = verdictOf(await attempt.run(ADD, '10', 'killed/direct'));
        const done = verdictOf(await attempt.commit());
        attempt.close();
        return [begun, ran, done].every((verdict) => verdict === 'RAN');
      });
      next.close();
      expect(await valueOf('killed/direct')).to.equal('10');
      expect(await valueOf('killed/forwarded')).to.equal(undefined);
      for (const vm of new Set([holder, remote])) {
        await fleet.start(vm, fleet.names.find((name) => name.vm === vm)!.dataCentre);
      }
      await fleet.settle();
    });
  });

  describe('whose key is withdrawn while they are idle', () => {
    it('are rolled back within seconds and refuse the next step', async () => {
      const { vm } = fleet.names[0]!;
      const idle = open(vm);
      await idle.begin();
      await idle.run(ADD, '1', 'withdrawn');
      const client = fleet.operator(vm);
      await client.withdrawKey({ keyId, changeId: '' });
      client.close();
      const other = await fleet.issueKey('ranch');
      await fleet.settle();
      const next = open(vm, other.key);
      await next.begin();
      expect(verdictOf(await next.run(ADD, '3', 'withdrawn'))).to.equal('RAN');
      expect(verdictOf(await next.commit())).to.equal('RAN');
      expect(verdictOf(await idle.commit())).to.equal('NOT_RUN unauthenticated');
      expect(await valueOf('withdrawn')).to.equal('3');
      [idle, next].forEach((transaction) => transaction.close());
    });
  });
});
