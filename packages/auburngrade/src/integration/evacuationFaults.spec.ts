import { startFleet, waitFor, type Fleet } from '@auburngrade/testkit';
import { expect } from 'chai';
import createWriteStream from './writeStream/createWriteStream';
import expectOneEffect from './writeStream/expectOneEffect';
import readTerm from './writeStream/readTerm';

const GROUP = 'auctions';
const CHANGE_OVER_MS = 13_000;

describe('an evacuation during which the new primary dies', () => {
  let fleet: Fleet;

  after(() => fleet.stop());

  it('gives the group a primary outside the data centre; no acknowledged write is lost', async () => {
    fleet = await startFleet({ connectionBudget: 60 });
    await fleet.put('account', 'ranch', { limit: { ratePerS: 100_000, burst: 100_000 } });
    await fleet.put('profile', 'bids', { accounts: ['ranch'], groups: [GROUP] });
    const { key } = await fleet.issueKey('ranch');
    await fleet.settle();
    const vms = fleet.names.map(({ vm }) => vm);
    const stream = createWriteStream({ fleet, key, group: GROUP, vms });
    const awaitPrimaryOutside = (names: string[]) =>
      waitFor(
        `a primary other than ${names.join()}`,
        async () => {
          const record = await readTerm(fleet, GROUP);
          const primary = record?.state === 'active' ? record.primary : undefined;
          return primary !== undefined && !names.includes(primary) ? primary : undefined;
        },
        CHANGE_OVER_MS,
      );
    await waitFor('writes', () => stream.ranCount() > 50);
    const first = (await readTerm(fleet, GROUP))?.primary ?? '';
    const { dataCentre } = fleet.member(first);
    await fleet.put('dataCentre', dataCentre, { state: 'evacuated' });
    const second = await awaitPrimaryOutside([first]);
    await fleet.member(second).kill();
    const third = await awaitPrimaryOutside([first, second]);
    expect(fleet.member(third).dataCentre).not.to.equal(dataCentre);
    const ranBefore = stream.ranCount();
    await waitFor('writes under the third primary', () => stream.ranCount() > ranBefore + 100);
    await expectOneEffect(fleet, GROUP, stream);
  });
});
