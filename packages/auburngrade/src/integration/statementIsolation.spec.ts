import { randomUUID } from 'node:crypto';
import { AccessMode, Verdict, type Outcome } from '@auburngrade/caller';
import { startFleet, type Fleet } from '@auburngrade/testkit';
import { expect } from 'chai';

const ADD = "UPDATE items SET value = value + '1' WHERE key = 'bale'";

describe('statement isolation', () => {
  let fleet: Fleet;
  let key: string;

  before(async () => {
    fleet = await startFleet({ dataCentres: ['waco'] });
    await fleet.put('account', 'ranch', { limit: { ratePerS: 1_000, burst: 1_000 } });
    await fleet.put('profile', 'bids', { accounts: ['ranch'], groups: ['auctions'] });
    ({ key } = await fleet.issueKey('ranch'));
    await fleet.settle();
  });

  after(async () => {
    await fleet.stop();
  });

  const write = async (sql: string): Promise<Outcome> => {
    const caller = fleet.caller('waco-1', key);
    const outcome = await caller.execute({
      profile: 'bids',
      group: 'auctions',
      accessMode: AccessMode.WRITE,
      sql,
      requestId: randomUUID(),
      timeoutMs: 3_000,
    });
    caller.close();
    return outcome;
  };

  describe('several statements in one text', () => {
    [
      `${ADD};COMMIT;BEGIN READ WRITE;${ADD}`,
      `${ADD};${ADD}`,
      `/* a comment */ COMMIT`,
      `-- a comment\nROLLBACK`,
      'set default_transaction_read_only = off',
      'DISCARD ALL',
    ].forEach((sql) => {
      it(`are refused and have no effect: ${sql}`, async () => {
        const outcome = await write(sql);
        expect(Verdict[outcome.verdict], outcome.refusal?.message).to.equal('NOT_RUN');
        const { items } = await fleet.member('auctions-m1').state();
        expect(items).to.deep.equal({});
      });
    });
  });

  describe('the connection afterwards', () => {
    it('runs the next write once', async () => {
      expect(Verdict[(await write(ADD)).verdict]).to.equal('RAN');
      const { items } = await fleet.member('auctions-m1').state();
      expect(items).to.deep.equal({ bale: '1' });
    });
  });
});
