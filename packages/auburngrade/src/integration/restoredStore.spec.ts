import { randomUUID } from 'node:crypto';
import { startFleet, waitFor, type Fleet } from '@auburngrade/testkit';
import { expect } from 'chai';
import readAccountRate from './readAccountRate';

/** Time within which an acknowledged change must be in force on each VM. */
const IN_FORCE_MS = 6_000;
const ANY_REVISION = -1;
/** More than the platform writes when it lists its VMs again. */
const LOST_CHANGES = 30;
/** Time in which a VM would take over what the store lists. */
const LISTED_MS = 2_500;

const sleep = (durationMs: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, durationMs);
  });

describe('a platform store that comes back from an older copy', () => {
  let fleet: Fleet;

  const all = (): string[] => fleet.names.map(({ vm }) => vm);

  const rateAt = (vm: string, name: string) => readAccountRate(fleet, vm, name);
  const ratesOf = (name: string) => Promise.all(all().map((vm) => rateAt(vm, name)));

  /** Sets an account's rate through a VM; resolves with the position of the change. */
  const setRate = async (vm: string, name: string, ratePerS: number): Promise<number> => {
    const client = fleet.operator(vm);
    const { verdict, revision } = await client.put({
      kind: 'account',
      name,
      bodyJson: JSON.stringify({ limit: { ratePerS, burst: 1 } }),
      expectedRevision: ANY_REVISION,
      changeId: randomUUID(),
    });
    client.close();
    expect(verdict).to.equal('ran');
    return revision;
  };

  const awaitInForce = (name: string, ratePerS: number | undefined) =>
    waitFor(
      `${name} at ${ratePerS} everywhere`,
      async () => (await ratesOf(name)).every((rate) => rate === ratePerS),
      IN_FORCE_MS,
    );

  before(async () => {
    fleet = await startFleet({ dataCentres: ['waco', 'temple'], vmsPerDataCentre: 3, groups: [] });
    await fleet.settle();
  });
  after(() => fleet.stop());

  it('lets changes come into force whose revisions it has given out before', async () => {
    const copied = await setRate('waco-1', 'ranch', 1);
    for (let rate = 2; rate <= LOST_CHANGES; rate += 1) await setRate('waco-2', 'ranch', rate);
    await awaitInForce('ranch', LOST_CHANGES);
    await fleet.platform.restore(copied);
    await setRate('temple-1', 'ranch', 1);
    await awaitInForce('ranch', 1);
    await setRate('temple-1', 'feed', 7);
    await awaitInForce('feed', 7);
  });

  it('reverts no change that is in force, and takes the next one', async () => {
    const copied = await setRate('waco-1', 'ranch', 10);
    await setRate('waco-1', 'ranch', 11);
    await setRate('waco-1', 'added', 12);
    await awaitInForce('ranch', 11);
    await awaitInForce('added', 12);
    await fleet.platform.restore(copied);
    await sleep(LISTED_MS);
    expect(await ratesOf('ranch')).to.deep.equal(all().map(() => 11));
    expect(await ratesOf('added')).to.deep.equal(all().map(() => 12));
    await setRate('temple-2', 'ranch', 13);
    await awaitInForce('ranch', 13);
  });

  it('brings back no document that was deleted', async () => {
    const copied = await setRate('waco-1', 'gone', 20);
    const client = fleet.operator('waco-1');
    await client.delete({
      kind: 'account',
      name: 'gone',
      expectedRevision: ANY_REVISION,
      changeId: randomUUID(),
    });
    client.close();
    await awaitInForce('gone', undefined);
    await fleet.platform.restore(copied);
    await sleep(LISTED_MS);
    expect(await ratesOf('gone')).to.deep.equal(all().map(() => undefined));
  });

  it('does so twice in a row, and is followed by a VM that starts in between', async () => {
    const copied = await setRate('waco-1', 'ranch', 30);
    await setRate('waco-1', 'ranch', 31);
    await awaitInForce('ranch', 31);
    await fleet.platform.restore(copied);
    await fleet.vms.get('temple-3')?.kill();
    await fleet.start('temple-3', 'temple');
    await fleet.platform.restore(copied);
    await setRate('temple-1', 'ranch', 32);
    await awaitInForce('ranch', 32);
  });
});

describe('a VM that was cut off while the store lost a deletion', () => {
  let fleet: Fleet;

  before(async () => {
    fleet = await startFleet({
      dataCentres: ['waco', 'temple'],
      vmsPerDataCentre: 2,
      groups: [],
      hasFaultLinks: true,
    });
    await fleet.settle();
  });
  after(() => fleet.stop());

  it('learns of it from a VM that knows it', async () => {
    const cutOff = 'temple-2';
    const others = fleet.names.map(({ vm }) => vm).filter((vm) => vm !== cutOff);
    const ratesOf = (vms: readonly string[]) =>
      Promise.all(vms.map((vm) => readAccountRate(fleet, vm, 'gone')));
    const isEverywhere = async (vms: readonly string[], rate: number | undefined) =>
      (await ratesOf(vms)).every((found) => found === rate);
    const linkAll = (mode: 'cut' | 'pass'): void =>
      others.forEach((vm) => fleet.link(cutOff, vm).setMode(mode));

    linkAll('cut');
    fleet.link(cutOff, 'platform').setMode('cut');
    const client = fleet.operator('waco-1');
    const { revision } = await client.put({
      kind: 'account',
      name: 'gone',
      bodyJson: JSON.stringify({ limit: { ratePerS: 20, burst: 1 } }),
      expectedRevision: ANY_REVISION,
      changeId: randomUUID(),
    });
    await waitFor('known to the others', () => isEverywhere(others, 20), IN_FORCE_MS);
    await client.delete({
      kind: 'account',
      name: 'gone',
      expectedRevision: ANY_REVISION,
      changeId: randomUUID(),
    });
    client.close();
    await waitFor('deleted on the others', () => isEverywhere(others, undefined), IN_FORCE_MS);
    await fleet.platform.restore(revision);
    fleet.link(cutOff, 'platform').setMode('pass');
    await waitFor('listed by the VM that was cut off', () => isEverywhere([cutOff], 20));
    linkAll('pass');
    await waitFor('deleted everywhere', () => isEverywhere([cutOff], undefined), IN_FORCE_MS);
    expect(await ratesOf(others)).to.deep.equal(others.map(() => undefined));
  });
});
