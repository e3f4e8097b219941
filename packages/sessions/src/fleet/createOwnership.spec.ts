import { expect } from 'chai';
import type { VmView } from '@auburngrade/coordination';
import createStoreStandIn from '../standIns/createStoreStandIn';
import createDocuments from './createDocuments';
import createOwnership from './createOwnership';
import type Fleet from './fleet';

const view = (vm: string, changes: Partial<VmView> = {}): VmView => ({
  vm,
  dataCentre: 'waco',
  incarnation: `${vm}-1`,
  isHeard: true,
  isSettled: true,
  isLeaving: false,
  isStrained: false,
  isStoreReachable: true,
  hears: new Set(),
  ...changes,
});

const createFixture = () => {
  const standIn = createStoreStandIn();
  const clock = { ms: 10_000 };
  const nowMs = (): number => clock.ms;
  const documents = createDocuments(nowMs);
  const state = {
    vms: [view('a'), view('b'), view('c')],
    holdsPeerLease: false,
    knowsNewer: false,
    isKnownByHalf: true,
    isLeaving: false,
    actingFor: undefined as string | undefined,
    isFollowing: true,
    isStrained: false,
    servedAtMs: undefined as number | undefined,
    primaryDataCentre: undefined as string | undefined,
  };
  const fleet = {
    vms: () => state.vms,
    isHeard: (vm: string) => state.vms.some((entry) => entry.vm === vm && entry.isHeard),
    holdsPeerLease: () => state.holdsPeerLease,
    knowsNewer: () => state.knowsNewer,
    isKnownByHalf: () => state.isKnownByHalf,
    isLeaving: () => state.isLeaving,
    isStrained: () => state.isStrained,
    actingFor: () => state.actingFor,
    servedAtMs: () => state.servedAtMs,
    lastBeat: () => 1,
    publish: () => undefined,
  } as Partial<Fleet> as Fleet;
  const ownership = createOwnership({
    self: { vm: 'a', incarnation: 'a-1', dataCentre: 'waco' },
    store: standIn.store,
    documents,
    fleet,
    log: { info: () => undefined, warn: () => undefined },
    nowMs,
    wallMs: nowMs,
    primaryDataCentre: () => state.primaryDataCentre,
    isFollowing: () => state.isFollowing,
  });
  const settle = (): Promise<void> =>
    new Promise((resolve) => {
      setTimeout(resolve, 5);
    });
  const own = async (group: string): Promise<void> => {
    state.vms = [view('a')];
    ownership.setListed();
    ownership.review([group]);
    await settle();
  };
  const record = (owner: string, changes = {}): string =>
    JSON.stringify({
      owner,
      incarnation: `${owner}-1`,
      primary: '',
      fence: 0,
      isHandedOver: false,
      ...changes,
    });
  const offer = (group: string, value: string): void => {
    const key = `auburngrade/groups/${group}`;
    standIn.put(key, value);
    const item = standIn.read(key);
    if (item) documents.offer(item);
  };
  return { ...standIn, clock, documents, state, ownership, settle, own, record, offer };
};

describe('createOwnership', () => {
  let fixture: ReturnType<typeof createFixture>;
  beforeEach(() => {
    fixture = createFixture();
  });

  describe('of a group without an owner', () => {
    it('claims it once the list of the store is known', async () => {
      const { ownership, state, settle } = fixture;
      state.vms = [view('a')];
      ownership.review(['lots']);
      await settle();
      expect(ownership.isRecorded('lots')).to.equal(false);
      ownership.setListed();
      ownership.review(['lots']);
      await settle();
      expect(ownership.isRecorded('lots')).to.equal(true);
    });

    it('claims nothing while it cannot follow the store', async () => {
      const { ownership, state, settle } = fixture;
      state.vms = [view('a')];
      state.isFollowing = false;
      ownership.setListed();
      ownership.review(['lots']);
      await settle();
      expect(ownership.isServedHere('lots')).to.equal(false);
    });
  });

  describe('of a group that it owns', () => {
    it('is certain for a while after it read or wrote the record', async () => {
      const { ownership, own, clock } = fixture;
      await own('lots');
      expect(ownership.isCertain('lots')).to.equal(true);
      clock.ms += 1_300;
      expect(ownership.isCertain('lots')).to.equal(false);
      await ownership.refresh();
      expect(ownership.isCertain('lots')).to.equal(true);
    });

    it('is not certain of one group because it wrote the record of another', async () => {
      const { ownership, own, clock } = fixture;
      await own('lots');
      clock.ms += 1_300;
      await own('bales');
      expect(ownership.isCertain('bales')).to.equal(true);
      expect(ownership.isCertain('lots')).to.equal(false);
    });

    it('is certain while the other VMs confirm it and none knows a newer record', async () => {
      const { ownership, own, clock, state } = fixture;
      await own('lots');
      clock.ms += 60_000;
      state.holdsPeerLease = true;
      expect(ownership.isCertain('lots')).to.equal(true);
      state.knowsNewer = true;
      expect(ownership.isCertain('lots')).to.equal(false);
    });

    it('loses it when the record names another VM', async () => {
      const { ownership, own, offer, record, state } = fixture;
      await own('lots');
      state.holdsPeerLease = true;
      offer('lots', record('b'));
      expect(ownership.isCertain('lots')).to.equal(false);
      expect(await ownership.recordPrimary('lots', { primary: 'i-2', term: 2, fence: 1 })).to.equal(
        false,
      );
    });
  });

  describe('of a group whose owner is heard, but reaches neither the store nor half of the VMs', () => {
    beforeEach(() => {
      fixture.ownership.setListed();
      fixture.offer('lots', fixture.record('b'));
      fixture.state.vms = [view('a'), view('b', { isStoreReachable: false })];
    });

    it('claims it when the owner has not served it for a while', async () => {
      const { ownership, settle, clock } = fixture;
      clock.ms += 1_100;
      ownership.review(['lots']);
      await settle();
      expect(ownership.isRecorded('lots')).to.equal(false);
      clock.ms += 200;
      ownership.review(['lots']);
      await settle();
      expect(ownership.isRecorded('lots')).to.equal(true);
    });

    it('replaces no primary before the belief of that owner has ended', async () => {
      const { ownership, settle, clock, state } = fixture;
      clock.ms += 1_300;
      ownership.review(['lots']);
      await settle();
      state.holdsPeerLease = true;
      ownership.review(['lots']);
      clock.ms += 1_500;
      expect(ownership.mayReplacePrimary('lots')).to.equal(false);
    });

    it('leaves it where it is while it does not follow the store, or the owner serves it', async () => {
      const { ownership, settle, clock, state } = fixture;
      clock.ms += 1_300;
      state.servedAtMs = clock.ms - 300;
      ownership.review(['lots']);
      state.servedAtMs = undefined;
      state.isFollowing = false;
      ownership.review(['lots']);
      await settle();
      expect(ownership.isServedHere('lots')).to.equal(false);
    });
  });

  describe('of a group whose owner is gone', () => {
    beforeEach(() => {
      fixture.ownership.setListed();
      fixture.offer('lots', fixture.record('b'));
      fixture.clock.ms += 1_000;
      fixture.state.vms = [view('a'), view('b', { isHeard: false })];
    });

    it('replaces its primary only after the belief of the owner before has ended', async () => {
      const { ownership, settle, clock, state } = fixture;
      ownership.review(['lots']);
      await settle();
      expect(ownership.isRecorded('lots')).to.equal(true);
      state.holdsPeerLease = true;
      expect(ownership.mayReplacePrimary('lots')).to.equal(false);
      ownership.review(['lots']);
      clock.ms += 1_500;
      expect(ownership.mayReplacePrimary('lots')).to.equal(false);
      clock.ms += 200;
      expect(ownership.mayReplacePrimary('lots')).to.equal(true);
    });

    it('waits until half of the other VMs have known its record for longer than a lease', async () => {
      const { ownership, settle, clock, state } = fixture;
      state.isKnownByHalf = false;
      ownership.review(['lots']);
      await settle();
      state.holdsPeerLease = true;
      clock.ms += 5_000;
      ownership.review(['lots']);
      expect(ownership.mayReplacePrimary('lots')).to.equal(false);
      state.isKnownByHalf = true;
      ownership.review(['lots']);
      clock.ms += 1_100;
      expect(ownership.mayReplacePrimary('lots')).to.equal(false);
      clock.ms += 100;
      expect(ownership.mayReplacePrimary('lots')).to.equal(true);
    });

    it('replaces none on the word of the store alone, since another VM may act for it', async () => {
      const { ownership, settle, clock } = fixture;
      ownership.review(['lots']);
      await settle();
      ownership.review(['lots']);
      clock.ms += 5_000;
      await ownership.refresh();
      expect(ownership.isCertain('lots')).to.equal(true);
      expect(ownership.mayReplacePrimary('lots')).to.equal(false);
    });

    it('calls for no new primary while half of the other VMs do not know the record', async () => {
      const { ownership, settle, state } = fixture;
      ownership.review(['lots']);
      await settle();
      state.holdsPeerLease = true;
      expect(await ownership.recordPrimary('lots', { primary: 'i-2', term: 2, fence: 1 })).to.equal(
        true,
      );
      state.isKnownByHalf = false;
      const recorded = ownership.recordPrimary('lots', { primary: 'i-3', term: 3, fence: 2 });
      await settle();
      fixture.clock.ms += 600;
      expect(await recorded).to.equal(false);
    });

    it('serves it while the store is away, but replaces no primary', async () => {
      const { ownership, settle, setDown, state } = fixture;
      setDown(true);
      ownership.review(['lots']);
      await settle();
      state.holdsPeerLease = true;
      expect(ownership.isServedHere('lots')).to.equal(true);
      expect(ownership.isCertain('lots')).to.equal(true);
      expect(ownership.mayReplacePrimary('lots')).to.equal(false);
    });

    it('stops serving it when the owner is heard again', async () => {
      const { ownership, settle, setDown, state } = fixture;
      setDown(true);
      ownership.review(['lots']);
      await settle();
      state.vms = [view('a'), view('b')];
      ownership.review(['lots']);
      expect(ownership.isServedHere('lots')).to.equal(false);
    });

    it('leaves it to a VM that serves it already', async () => {
      const { ownership, settle, state } = fixture;
      state.actingFor = 'c';
      state.vms.push(view('c'));
      ownership.review(['lots']);
      await settle();
      expect(ownership.isServedHere('lots')).to.equal(false);
      expect(ownership.servingVm('lots')).to.equal('c');
    });
  });

  describe('when the VM leaves or is strained', () => {
    it('hands a group over so that the next owner may act at once', async () => {
      const { ownership, own, state, read } = fixture;
      await own('lots');
      state.vms = [view('a'), view('b')];
      await ownership.handOver('lots');
      const stored = JSON.parse(read('auburngrade/groups/lots')?.value ?? '{}');
      expect(stored).to.deep.include({ owner: 'b', incarnation: 'b-1', isHandedOver: true });
      expect(ownership.isRecorded('lots')).to.equal(false);
    });

    it('is certain for a moment after it, so that commits under way are acknowledged', async () => {
      const { ownership, own, state, clock } = fixture;
      await own('lots');
      state.vms = [view('a'), view('b')];
      await ownership.handOver('lots');
      clock.ms += 900;
      expect(ownership.isCertain('lots')).to.equal(true);
      clock.ms += 200;
      expect(ownership.isCertain('lots')).to.equal(false);
    });

    it('is not certain after it once a newer record is known', async () => {
      const { ownership, own, state, offer, record } = fixture;
      await own('lots');
      state.vms = [view('a'), view('b')];
      await ownership.handOver('lots');
      offer('lots', record('b', { primary: 'r', fence: 1 }));
      expect(ownership.isCertain('lots')).to.equal(false);
    });

    it('gives a group to a VM with time to spare', async () => {
      const { ownership, own, state, settle } = fixture;
      await own('lots');
      state.vms = [view('a', { isStrained: true }), view('b')];
      state.isStrained = true;
      ownership.review(['lots']);
      await settle();
      expect(ownership.recordOf('lots')?.owner).to.equal('b');
    });

    it('gives a group away whose primary has moved to its own data centre for good', async () => {
      const { ownership, own, state, settle, clock } = fixture;
      await own('lots');
      state.vms = [view('a'), view('b'), view('c', { dataCentre: 'temple' })];
      state.primaryDataCentre = 'waco';
      ownership.review(['lots']);
      clock.ms += 1_500;
      ownership.review(['lots']);
      await settle();
      expect(ownership.isRecorded('lots')).to.equal(true);
      clock.ms += 600;
      ownership.review(['lots']);
      await settle();
      expect(ownership.recordOf('lots')).to.deep.include({ owner: 'c', isHandedOver: true });
    });

    it('gives one of two groups away that its data centre owns, to one that owns none', async () => {
      const { ownership, own, offer, record, state, settle, clock } = fixture;
      await own('lots');
      offer('bids', record('b'));
      state.vms = [view('a'), view('b'), view('c', { dataCentre: 'temple' })];
      ownership.review(['lots', 'bids']);
      clock.ms += 2_100;
      state.servedAtMs = clock.ms;
      ownership.review(['lots', 'bids']);
      await settle();
      expect(ownership.recordOf('lots')).to.deep.include({ owner: 'c', isHandedOver: true });
    });

    it('keeps such a group when only its own data centre has VMs', async () => {
      const { ownership, own, state, settle, clock } = fixture;
      await own('lots');
      state.vms = [view('a'), view('b')];
      state.primaryDataCentre = 'waco';
      ownership.review(['lots']);
      clock.ms += 3_000;
      ownership.review(['lots']);
      await settle();
      expect(ownership.isRecorded('lots')).to.equal(true);
    });

    it('gives none away to even out the load when the other VMs cannot reach the store', async () => {
      const { ownership, own, state, settle } = fixture;
      await own('lots');
      await own('bales');
      state.vms = [view('a'), view('b', { isStoreReachable: false })];
      ownership.review(['lots', 'bales']);
      await settle();
      expect(['lots', 'bales'].every(ownership.isRecorded)).to.equal(true);
      state.vms = [view('a'), view('b')];
      ownership.review(['lots', 'bales']);
      await settle();
      expect(['lots', 'bales'].every(ownership.isRecorded)).to.equal(false);
    });
  });
});
