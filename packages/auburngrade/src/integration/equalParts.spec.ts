import { randomUUID } from 'node:crypto';
import { AccessMode, Verdict } from '@auburngrade/caller';
import { startFleet, type Fleet } from '@auburngrade/testkit';
import { expect } from 'chai';

const GROUP = 'auctions';

describe('equal parts of rates', () => {
  let fleet: Fleet;

  before(async () => {
    fleet = await startFleet({ vmSettings: { admission: { mode: 'equalParts' } } });
    await fleet.put('account', 'ranch', { limit: { ratePerS: 100, burst: 100 } });
    await fleet.put('profile', 'bids', { accounts: ['ranch'], groups: [GROUP] });
  });

  after(() => fleet.stop());

  describe('on VMs that have just started', () => {
    it('are given out as soon as the VMs are ready', async () => {
      await fleet.settle();
      const { key } = await fleet.issueKey('ranch');
      await fleet.settle();
      const caller = fleet.caller('temple-1', key);
      const outcome = await caller.execute({
        profile: 'bids',
        group: GROUP,
        accessMode: AccessMode.READ,
        sql: 'SELECT value FROM items WHERE key = $1',
        parameters: [{ text: 'bale' }],
        requestId: randomUUID(),
        timeoutMs: 3_000,
      });
      caller.close();
      expect(Verdict[outcome.verdict], outcome.refusal?.message).to.equal('RAN');
    });
  });
});
