import { startFleet, waitFor, type Fleet } from '@auburngrade/testkit';
import { expect } from 'chai';
import createWriteStream from './writeStream/createWriteStream';
import readTerm from './writeStream/readTerm';

const GROUP = 'auctions';
const GAP_CEILING_MS = 13_000;

describe('a lost primary', () => {
  let fleet: Fleet;
  let key: string;

  before(async () => {
    fleet = await startFleet({ hasFaultLinks: true, hasReplicationLinks: true });
    await fleet.put('account', 'ranch', { limit: { ratePerS: 100_000, burst: 100_000 } });
    await fleet.put('profile', 'bids', { accounts: ['ranch'], groups: [GROUP] });
    ({ key } = await fleet.issueKey('ranch'));
    await fleet.settle();
    await waitFor('the first term', async () => (await readTerm(fleet, GROUP))?.state === 'active');
  });

  after(async () => {
    await fleet.stop();
  });

  describe('killed under a stream of writes', () => {
    it('is replaced; no acknowledged write is lost and none is doubled', async () => {
      const stream = createWriteStream({
        fleet,
        key,
        group: GROUP,
        vms: ['waco-1', 'temple-1', 'bryan-1'],
      });
      const before = await readTerm(fleet, GROUP);
      await waitFor('writes', () => stream.ranCount() > 50);
      await fleet.member(before?.primary ?? '').kill();
      await waitFor(
        'writes after the failover',
        () => stream.ranSinceLastGap() > 50,
        GAP_CEILING_MS,
      );
      const tally = await stream.stop();
      const record = await readTerm(fleet, GROUP);
      expect(record?.term).to.be.greaterThan(before?.term ?? 0);
      const state = await fleet.member(record?.primary ?? '').state();
      const value = Number(state.items[stream.item]);
      expect(value).to.be.at.least(tally.ranCount);
      expect(value).to.be.at.most(tally.ranCount + tally.mayHaveRunCount);
      expect(tally.longestGapMs).to.be.below(GAP_CEILING_MS);
    });
  });
});
