import { expect } from 'chai';
import createFakeStore from '../standIns/createFakeStore';
import createRegistration from './createRegistration';

const SEATS = 2;

const createFixture = () => {
  const fake = createFakeStore();
  const create = (vm: string, incarnation = `${vm}-1`) =>
    createRegistration({
      store: fake.store,
      vm,
      registration: { address: '127.0.0.1:7560', dataCentre: 'waco', incarnation },
      ttlMs: 4_000,
      log: { info: () => undefined, warn: () => undefined },
      seatCount: () => SEATS,
      random: () => 0,
    });
  return { fake, create };
};

describe('createRegistration', () => {
  it('gives out no more seats than there are, whoever applies at once', async () => {
    const { create } = createFixture();
    const vms = ['a', 'b', 'c', 'd', 'e'].map((vm) => create(vm));
    const firstRound = await Promise.all(vms.map((vm) => vm.apply()));
    const secondRound = await Promise.all(vms.slice(1).map((vm) => vm.apply()));
    const seated = [...firstRound, ...secondRound].filter(Boolean);
    expect(seated).to.have.length(SEATS);
  });

  it('gives a VM that restarted the seat that it still holds', async () => {
    const { create, fake } = createFixture();
    expect(await create('a').apply()).to.equal(true);
    expect(await create('b').apply()).to.equal(true);
    expect(await create('a', 'a-2').apply()).to.equal(true);
    expect(fake.read('auburngrade/vms/a')?.value).to.include('a-2');
  });

  it('gives a seat away again once its VM has closed', async () => {
    const { create } = createFixture();
    const first = create('a');
    await first.apply();
    await create('b').apply();
    expect(await create('c').apply()).to.equal(false);
    await first.close();
    expect(await create('c').apply()).to.equal(true);
  });

  it('registers once when an application and a renewal meet', async () => {
    const { create, fake } = createFixture();
    const registration = create('a');
    const application = registration.apply();
    registration.keep();
    expect(await application).to.equal(true);
    const { revision } = fake.read('auburngrade/vms/a') ?? {};
    await new Promise((resolve) => {
      setTimeout(resolve, 50);
    });
    expect(fake.read('auburngrade/vms/a')?.revision).to.equal(revision);
    expect(registration.isStoreAnswering()).to.equal(true);
    await registration.close();
  });

  describe('on a store that was restored from a copy', () => {
    const waitForStore = (): Promise<void> =>
      new Promise((resolve) => {
        setTimeout(resolve, 50);
      });

    it('registers anew at once when the copy lacks its registration', async () => {
      const { create, fake } = createFixture();
      const copy = fake.copy();
      const registration = create('a');
      await registration.apply();
      registration.keep();
      fake.restore(copy);
      await waitForStore();
      expect(fake.read('auburngrade/vms/a')?.value).to.include('a-1');
      expect(fake.read('auburngrade/seats/waco/0')?.value).to.equal('a');
      await registration.close();
    });

    it('does not end the lease of another VM that was given the same number', async () => {
      const { create, fake } = createFixture();
      const copy = fake.copy();
      const first = create('a');
      await first.apply();
      fake.restore(copy);
      const second = create('b');
      await second.apply();
      second.keep();
      await first.close();
      expect(fake.read('auburngrade/vms/b')?.value).to.include('b-1');
      await second.close();
    });

    it('registers without a seat when others have taken all of them', async () => {
      const { create, fake } = createFixture();
      const copy = fake.copy();
      const first = create('a');
      await first.apply();
      fake.restore(copy);
      expect(await create('b').apply()).to.equal(true);
      expect(await create('c').apply()).to.equal(true);
      first.keep();
      await first.close();
      const late = create('a');
      expect(await late.apply()).to.equal(false);
      late.keep();
      await waitForStore();
      expect(fake.read('auburngrade/vms/a')?.value).to.include('a-1');
      await late.close();
    });
  });
});
