import { startFleet, waitFor, type Fleet } from '@auburngrade/testkit';
import { expect } from 'chai';
import createWriteStream from './writeStream/createWriteStream';
import expectOneEffect from './writeStream/expectOneEffect';
import readTerm from './writeStream/readTerm';

const GROUP = 'auctions';
const VMS = ['waco-1', 'temple-1', 'bryan-1'];
const CHANGE_OVER_MS = 13_000;

describe('a primary that the operators mark as leaving', () => {
  let fleet: Fleet;
  let key: string;

  const primary = async (): Promise<string> => (await readTerm(fleet, GROUP))?.primary ?? '';

  const markLeaving = (leaving: string | undefined): Promise<void> =>
    fleet.put('group', GROUP, {
      connectionBudget: 20,
      members: fleet.members.map(({ name, dataCentre, port, replicationPort }) => ({
        name,
        dataCentre,
        host: '127.0.0.1',
        port,
        replicationPort,
        state: name === leaving ? 'leaving' : 'active',
      })),
    });

  before(async () => {
    fleet = await startFleet();
    await fleet.put('account', 'ranch', { limit: { ratePerS: 100_000, burst: 100_000 } });
    await fleet.put('profile', 'bids', { accounts: ['ranch'], groups: [GROUP] });
    ({ key } = await fleet.issueKey('ranch'));
    await fleet.settle();
    await waitFor('the first term', async () => (await readTerm(fleet, GROUP))?.state === 'active');
  });

  after(async () => {
    await fleet.stop();
  });

  it('is replaced under a stream of writes; none is cut, lost or doubled', async () => {
    const leaving = await primary();
    const stream = createWriteStream({ fleet, key, group: GROUP, vms: VMS });
    await waitFor('writes', () => stream.ranCount() > 50);
    await markLeaving(leaving);
    const record = await waitFor(
      'a term without the leaving member',
      async () => {
        const found = await readTerm(fleet, GROUP);
        return found?.state === 'active' && !found.voters?.includes(leaving) ? found : undefined;
      },
      CHANGE_OVER_MS,
    );
    const ranBefore = stream.ranCount();
    await waitFor('writes under the new term', () => stream.ranCount() > ranBefore + 100);
    const tally = await expectOneEffect(fleet, GROUP, stream);
    expect(record.primary).not.to.equal(leaving);
    expect(tally.codes).to.deep.equal({});
    expect(tally.mayHaveRunCount).to.equal(0);
  });

  it('votes again when it is active again, under the same primary', async () => {
    const kept = await primary();
    const stream = createWriteStream({ fleet, key, group: GROUP, vms: VMS });
    await waitFor('writes', () => stream.ranCount() > 50);
    await markLeaving(undefined);
    const record = await waitFor(
      'a term with three voters',
      async () => {
        const found = await readTerm(fleet, GROUP);
        return found?.state === 'active' && found.voters?.length === 3 ? found : undefined;
      },
      CHANGE_OVER_MS,
    );
    const ranBefore = stream.ranCount();
    await waitFor('writes under the new term', () => stream.ranCount() > ranBefore + 100);
    const tally = await expectOneEffect(fleet, GROUP, stream);
    expect(record.primary).to.equal(kept);
    expect(tally.codes).to.deep.equal({});
    expect(tally.mayHaveRunCount).to.equal(0);
  });
});
