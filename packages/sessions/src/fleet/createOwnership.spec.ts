import { expect } from 'chai';
import type { EvacuationPhase, VmView } from '@auburngrade/coordination';
import createFakeStore from '../standIns/createFakeStore';
import createDocuments from './createDocuments';
import createOwnership from './createOwnership';
import type Fleet from './fleet';
import readGroupRecord from './readGroupRecord';

const createVmView = (vm: string, changes: Partial<VmView> = {}): VmView => ({
  vm,
  dataCentre: 'waco',
  isVoter: true,
  incarnation: `${vm}-1`,
  hasRecentHeartbeat: true,
  isSettled: true,
  isLeaving: false,
  isStrained: false,
  isInEvacuatedDataCentre: false,
  isStoreReachable: true,
  hears: new Set(),
  ...changes,
});

const createFixture = () => {
  const standIn = createFakeStore();
  const clock = { ms: 10_000 };
  const nowMs = (): number => clock.ms;
  const log = { info: () => undefined, warn: () => undefined };
  const documents = createDocuments({
    nowMs,
    log,
    readOrigin: (_key, value) => ({ era: readGroupRecord(value)?.era }),
  });
  const state = {
    vms: [createVmView('a'), createVmView('b'), createVmView('c')],
    holdsPeerLease: false,
    isNewerKnownElsewhere: false,
    isKnownByMajority: true,
    isSettled: true,
    isLeaving: false,
    actingVm: undefined as string | undefined,
    isStoreViewCurrent: true,
    isStrained: false,
    servedAtMs: undefined as number | undefined,
    primaryDataCentre: undefined as string | undefined,
    isReplacingPrimary: false,
    primaryPhase: 'inService' as EvacuationPhase,
  };
  const fleet = {
    vms: () => state.vms,
    isHeard: (vm: string) => state.vms.some((entry) => entry.vm === vm && entry.hasRecentHeartbeat),
    holdsPeerLease: () => state.holdsPeerLease,
    isNewerKnownElsewhere: () => state.isNewerKnownElsewhere,
    isKnownByMajority: () => state.isKnownByMajority,
    describeMajority: () => ({
      voters: ['a', 'b', 'c'],
      voterSetVersion: 1,
      confirmedBy: ['b'],
      knownBy: ['b'],
    }),
    isSettled: () => state.isSettled,
    isLeaving: () => state.isLeaving,
    isStrained: () => state.isStrained,
    findActingVm: () => state.actingVm,
    servedAtMs: () => state.servedAtMs,
    lastHeartbeatNumber: () => 1,
    publish: () => undefined,
  } as Partial<Fleet> as Fleet;
  const ownership = createOwnership({
    self: { vm: 'a', incarnation: 'a-1', dataCentre: 'waco' },
    store: standIn.store,
    documents,
    fleet,
    log,
    nowMs,
    wallMs: nowMs,
    primaryDataCentre: () => state.primaryDataCentre,
    primaryPhase: () => state.primaryPhase,
    isReplacingPrimary: () => state.isReplacingPrimary,
    isStoreViewCurrent: () => state.isStoreViewCurrent,
  });
  const waitForStore = (): Promise<void> =>
    new Promise((resolve) => {
      setTimeout(resolve, 5);
    });
  const own = async (group: string): Promise<void> => {
    const { holdsPeerLease } = state;
    // A VM without peers holds the peer lease.
    state.vms = [createVmView('a')];
    state.holdsPeerLease = true;
    ownership.markRecordsListed();
    ownership.reconcile([group]);
    await waitForStore();
    state.holdsPeerLease = holdsPeerLease;
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
  const storeAndCacheRecord = (group: string, value: string): void => {
    const key = `auburngrade/groups/${group}`;
    standIn.put(key, value);
    const item = standIn.read(key);
    if (item) documents.putIfNewer(item);
  };
  return {
    ...standIn,
    clock,
    documents,
    state,
    ownership,
    waitForStore,
    own,
    record,
    storeAndCacheRecord,
  };
};

describe('createOwnership', () => {
  let fixture: ReturnType<typeof createFixture>;
  beforeEach(() => {
    fixture = createFixture();
  });

  describe('for a group without an owner', () => {
    it('claims it once the records of the store are listed', async () => {
      const { ownership, state, waitForStore } = fixture;
      state.vms = [createVmView('a')];
      state.holdsPeerLease = true;
      ownership.reconcile(['lots']);
      await waitForStore();
      expect(ownership.isOwnedHere('lots')).to.equal(false);
      ownership.markRecordsListed();
      ownership.reconcile(['lots']);
      await waitForStore();
      expect(ownership.isOwnedHere('lots')).to.equal(true);
    });

    it('leaves it to a VM whose claim it learns of while it reads the store', async () => {
      const { ownership, state, waitForStore, storeAndCacheRecord, record, read } = fixture;
      state.vms = [createVmView('a')];
      state.holdsPeerLease = true;
      ownership.markRecordsListed();
      ownership.reconcile(['lots']);
      storeAndCacheRecord('lots', record('b', { fence: 3 }));
      await waitForStore();
      expect(JSON.parse(read('auburngrade/groups/lots')?.value ?? '{}')).to.include({
        owner: 'b',
        fence: 3,
      });
      expect(ownership.isOwnedHere('lots')).to.equal(false);
    });

    it('claims nothing while its view of the store is out of date', async () => {
      const { ownership, state, waitForStore } = fixture;
      state.vms = [createVmView('a')];
      state.isStoreViewCurrent = false;
      ownership.markRecordsListed();
      ownership.reconcile(['lots']);
      await waitForStore();
      expect(ownership.isServedHere('lots')).to.equal(false);
    });
  });

  describe('on a store that was restored from an older copy', () => {
    const GROUP_KEY = 'auburngrade/groups/lots';
    const readRecord = () => readGroupRecord(fixture.read(GROUP_KEY)?.value ?? '');

    /** A copy with a record of `a`, made before the group passed to `ownerAfter`. */
    const ownAndLose = async (ownerAfter?: string): Promise<void> => {
      await fixture.own('lots');
      const copy = fixture.copy();
      if (ownerAfter === undefined) {
        await fixture.ownership.recordPrimary('lots', { primary: 'r', term: 4, fence: 7 });
      } else {
        fixture.storeAndCacheRecord('lots', fixture.record(ownerAfter, { era: 1, fence: 7 }));
      }
      fixture.restore(copy);
    };

    beforeEach(() => {
      fixture.state.vms = [createVmView('a'), createVmView('b'), createVmView('c')];
    });

    it('does not believe a restored record that names it as the owner again', async () => {
      const { ownership, clock } = fixture;
      await ownAndLose('b');
      clock.ms += 5_000;
      await ownership.refreshRecords();
      expect(ownership.isOwnedHere('lots')).to.equal(false);
      expect(ownership.isAuthoritative('lots')).to.equal(false);
    });

    it('takes no confirmation from a restored record: a newer one may be lost', async () => {
      const { ownership, clock, copy, restore } = fixture;
      await fixture.own('lots');
      restore(copy());
      clock.ms += 5_000;
      await ownership.refreshRecords();
      expect(ownership.isOwnedHere('lots')).to.equal(true);
      expect(ownership.isAuthoritative('lots')).to.equal(false);
    });

    it('writes the fence and the term of its record again that the store lost', async () => {
      const { ownership, state, waitForStore } = fixture;
      state.holdsPeerLease = true;
      await ownAndLose();
      expect(readRecord()).to.deep.include({ fence: 0, era: 1 });
      ownership.reconcile(['lots']);
      await waitForStore();
      expect(readRecord()).to.deep.include({ owner: 'a', primary: 'r', fence: 7, term: 4, era: 2 });
    });

    it('writes its record again that the copy lacks', async () => {
      const { ownership, state, waitForStore, copy, restore } = fixture;
      const empty = copy();
      await fixture.own('lots');
      state.holdsPeerLease = true;
      restore(empty);
      ownership.reconcile(['lots']);
      await waitForStore();
      expect(readRecord()).to.deep.include({ owner: 'a', era: 2 });
    });

    it('writes no record while another VM reports a newer one, or without the peer lease', async () => {
      const { ownership, state, waitForStore } = fixture;
      state.holdsPeerLease = true;
      await ownAndLose();
      state.isNewerKnownElsewhere = true;
      ownership.reconcile(['lots']);
      state.isNewerKnownElsewhere = false;
      state.holdsPeerLease = false;
      ownership.reconcile(['lots']);
      await waitForStore();
      expect(readRecord()).to.deep.include({ fence: 0, era: 1 });
      state.holdsPeerLease = true;
      ownership.reconcile(['lots']);
      await waitForStore();
      expect(readRecord()).to.deep.include({ fence: 7, era: 2 });
    });

    it('writes it once for each time that the store is restored', async () => {
      const { ownership, state, waitForStore, copy, restore } = fixture;
      state.holdsPeerLease = true;
      await ownAndLose();
      const copies = [copy(), copy()];
      for (const era of [2, 3, 4]) {
        ownership.reconcile(['lots']);
        await waitForStore();
        expect(readRecord()).to.deep.include({ fence: 7, era });
        const { revision } = fixture.read(GROUP_KEY) ?? {};
        ownership.reconcile(['lots']);
        await waitForStore();
        expect(fixture.read(GROUP_KEY)?.revision).to.equal(revision);
        const next = copies.pop();
        if (next) restore(next);
      }
    });

    it('goes on acting for a lost owner until it may write a record in the new era', async () => {
      const { ownership, state, waitForStore } = fixture;
      await ownAndLose('b');
      state.holdsPeerLease = true;
      state.vms = [createVmView('a'), createVmView('b', { incarnation: 'b-2', isLeaving: true })];
      fixture.clock.ms += 1_000;
      state.isStoreViewCurrent = false;
      ownership.reconcile(['lots']);
      expect(ownership.acting()).to.deep.equal(['lots']);
      state.isStoreViewCurrent = true;
      state.isSettled = false;
      ownership.reconcile(['lots']);
      await waitForStore();
      expect(ownership.acting()).to.deep.equal(['lots']);
      state.isSettled = true;
      ownership.reconcile(['lots']);
      await waitForStore();
      expect([ownership.acting(), ownership.isOwnedHere('lots')]).to.deep.equal([[], true]);
    });

    it('claims the group of a lost owner whose record the copy lacks', async () => {
      const { ownership, state, waitForStore } = fixture;
      await ownAndLose('b');
      state.holdsPeerLease = true;
      state.vms = [createVmView('a'), createVmView('b', { incarnation: 'b-2', isLeaving: true })];
      fixture.clock.ms += 1_000;
      ownership.reconcile(['lots']);
      await waitForStore();
      expect(readRecord()).to.deep.include({ owner: 'a', fence: 7, era: 2 });
    });
  });

  describe('for a group that it owns', () => {
    it('is authoritative for a limited time after it read or wrote the record', async () => {
      const { ownership, own, clock } = fixture;
      await own('lots');
      expect(ownership.isAuthoritative('lots')).to.equal(true);
      clock.ms += 1_300;
      expect(ownership.isAuthoritative('lots')).to.equal(false);
      await ownership.refreshRecords();
      expect(ownership.isAuthoritative('lots')).to.equal(true);
    });

    it('does not become authoritative for one group by writing the record of another', async () => {
      const { ownership, own, clock } = fixture;
      await own('lots');
      clock.ms += 1_300;
      await own('bales');
      expect(ownership.isAuthoritative('bales')).to.equal(true);
      expect(ownership.isAuthoritative('lots')).to.equal(false);
    });

    it('is authoritative while it holds the peer lease and no peer knows a newer record', async () => {
      const { ownership, own, clock, state } = fixture;
      await own('lots');
      clock.ms += 60_000;
      state.holdsPeerLease = true;
      expect(ownership.isAuthoritative('lots')).to.equal(true);
      state.isNewerKnownElsewhere = true;
      expect(ownership.isAuthoritative('lots')).to.equal(false);
    });

    it('is no longer authoritative and records no primary once the record names another VM', async () => {
      const { ownership, own, storeAndCacheRecord, record, state } = fixture;
      await own('lots');
      state.holdsPeerLease = true;
      storeAndCacheRecord('lots', record('b'));
      expect(ownership.isAuthoritative('lots')).to.equal(false);
      expect(await ownership.recordPrimary('lots', { primary: 'i-2', term: 2, fence: 1 })).to.equal(
        false,
      );
    });
  });

  describe('for a group whose owner is heard, but reaches neither the store nor a majority', () => {
    beforeEach(() => {
      fixture.ownership.markRecordsListed();
      fixture.storeAndCacheRecord('lots', fixture.record('b'));
      fixture.state.vms = [createVmView('a'), createVmView('b', { isStoreReachable: false })];
    });

    it('claims it once the owner has not served it for 1.2 s', async () => {
      const { ownership, waitForStore, clock } = fixture;
      clock.ms += 1_100;
      ownership.reconcile(['lots']);
      await waitForStore();
      expect(ownership.isOwnedHere('lots')).to.equal(false);
      clock.ms += 200;
      ownership.reconcile(['lots']);
      await waitForStore();
      expect(ownership.isOwnedHere('lots')).to.equal(true);
    });

    it('replaces no primary before the confirmation of the previous owner has expired', async () => {
      const { ownership, waitForStore, clock, state } = fixture;
      clock.ms += 1_300;
      ownership.reconcile(['lots']);
      await waitForStore();
      state.holdsPeerLease = true;
      ownership.reconcile(['lots']);
      clock.ms += 1_500;
      expect(ownership.mayReplacePrimary('lots')).to.equal(false);
    });

    it('does not claim it while its view of the store is out of date or the owner serves the group', async () => {
      const { ownership, waitForStore, clock, state } = fixture;
      clock.ms += 1_300;
      state.servedAtMs = clock.ms - 300;
      ownership.reconcile(['lots']);
      state.servedAtMs = undefined;
      state.isStoreViewCurrent = false;
      ownership.reconcile(['lots']);
      await waitForStore();
      expect(ownership.isServedHere('lots')).to.equal(false);
    });
  });

  describe('for a group whose owner is lost', () => {
    beforeEach(() => {
      fixture.ownership.markRecordsListed();
      fixture.storeAndCacheRecord('lots', fixture.record('b'));
      fixture.clock.ms += 1_000;
      fixture.state.vms = [createVmView('a'), createVmView('b', { hasRecentHeartbeat: false })];
    });

    it('replaces its primary only after the confirmation of the previous owner has expired', async () => {
      const { ownership, waitForStore, clock, state } = fixture;
      ownership.reconcile(['lots']);
      await waitForStore();
      expect(ownership.isOwnedHere('lots')).to.equal(true);
      state.holdsPeerLease = true;
      expect(ownership.mayReplacePrimary('lots')).to.equal(false);
      ownership.reconcile(['lots']);
      clock.ms += 1_500;
      expect(ownership.mayReplacePrimary('lots')).to.equal(false);
      clock.ms += 200;
      expect(ownership.mayReplacePrimary('lots')).to.equal(true);
    });

    it('replaces its primary only after a majority has known its record for longer than the peer lease', async () => {
      const { ownership, waitForStore, clock, state } = fixture;
      state.isKnownByMajority = false;
      ownership.reconcile(['lots']);
      await waitForStore();
      state.holdsPeerLease = true;
      clock.ms += 5_000;
      ownership.reconcile(['lots']);
      expect(ownership.mayReplacePrimary('lots')).to.equal(false);
      state.isKnownByMajority = true;
      ownership.reconcile(['lots']);
      clock.ms += 1_100;
      expect(ownership.mayReplacePrimary('lots')).to.equal(false);
      clock.ms += 100;
      expect(ownership.mayReplacePrimary('lots')).to.equal(true);
    });

    it('waits after a claim that took effect although its call had failed', async () => {
      const { ownership, state, clock, record, storeAndCacheRecord } = fixture;
      ownership.markRecordsListed();
      state.holdsPeerLease = true;
      storeAndCacheRecord('lots', record('a', { ownerEpoch: 2 }));
      ownership.reconcile(['lots']);
      clock.ms += 1_500;
      expect(ownership.mayReplacePrimary('lots')).to.equal(false);
      clock.ms += 150;
      expect(ownership.mayReplacePrimary('lots')).to.equal(true);
    });

    it('waits again if it owned the group before, and others did in between without its knowledge', async () => {
      const { ownership, state, clock, own, record, storeAndCacheRecord } = fixture;
      await own('lots');
      ownership.reconcile(['lots']);
      state.holdsPeerLease = true;
      clock.ms += 10_000;
      ownership.reconcile(['lots']);
      expect(ownership.mayReplacePrimary('lots')).to.equal(true);
      storeAndCacheRecord('lots', record('a', { ownerEpoch: 3, isHandedOver: true }));
      ownership.reconcile(['lots']);
      expect(ownership.mayReplacePrimary('lots')).to.equal(false);
      clock.ms += 1_250;
      expect(ownership.mayReplacePrimary('lots')).to.equal(true);
    });

    it('replaces no primary on a confirmation by the store alone, since another VM may be acting', async () => {
      const { ownership, waitForStore, clock } = fixture;
      ownership.reconcile(['lots']);
      await waitForStore();
      ownership.reconcile(['lots']);
      clock.ms += 5_000;
      await ownership.refreshRecords();
      expect(ownership.isAuthoritative('lots')).to.equal(true);
      expect(ownership.mayReplacePrimary('lots')).to.equal(false);
    });

    it('reports a new primary as not recorded while no majority knows the record', async () => {
      const { ownership, waitForStore, state } = fixture;
      ownership.reconcile(['lots']);
      await waitForStore();
      state.holdsPeerLease = true;
      expect(await ownership.recordPrimary('lots', { primary: 'i-2', term: 2, fence: 1 })).to.equal(
        true,
      );
      state.isKnownByMajority = false;
      const recorded = ownership.recordPrimary('lots', { primary: 'i-3', term: 3, fence: 2 });
      await waitForStore();
      fixture.clock.ms += 600;
      expect(await recorded).to.equal(false);
    });

    it('serves it while the store is unreachable, but replaces no primary', async () => {
      const { ownership, waitForStore, setDown, state } = fixture;
      setDown(true);
      ownership.reconcile(['lots']);
      await waitForStore();
      state.holdsPeerLease = true;
      expect(ownership.isServedHere('lots')).to.equal(true);
      expect(ownership.isAuthoritative('lots')).to.equal(true);
      expect(ownership.mayReplacePrimary('lots')).to.equal(false);
    });

    it('stays in its tenure when its own claim follows', async () => {
      const { ownership, state, waitForStore, record, storeAndCacheRecord } = fixture;
      ownership.markRecordsListed();
      storeAndCacheRecord('lots', record('b', { ownerEpoch: 4 }));
      state.vms = [createVmView('a'), createVmView('b', { incarnation: 'b-2', isLeaving: true })];
      fixture.clock.ms += 1_000;
      state.isStoreViewCurrent = false;
      ownership.reconcile(['lots']);
      const tenure = ownership.findTenure('lots');
      state.isStoreViewCurrent = true;
      ownership.reconcile(['lots']);
      await waitForStore();
      expect([ownership.isOwnedHere('lots'), tenure]).to.deep.equal([true, 'acting 4 0']);
      expect(ownership.findTenure('lots')).to.equal(tenure);
      storeAndCacheRecord('lots', record('a', { ownerEpoch: 7, isHandedOver: true }));
      expect(ownership.findTenure('lots')).to.equal('owner 7');
    });

    it('stops serving it when the owner is heard again', async () => {
      const { ownership, waitForStore, setDown, state } = fixture;
      setDown(true);
      ownership.reconcile(['lots']);
      await waitForStore();
      state.vms = [createVmView('a'), createVmView('b')];
      ownership.reconcile(['lots']);
      expect(ownership.isServedHere('lots')).to.equal(false);
    });

    it('leaves it to a VM that is acting for the owner already', async () => {
      const { ownership, waitForStore, state } = fixture;
      state.actingVm = 'c';
      state.vms.push(createVmView('c'));
      ownership.reconcile(['lots']);
      await waitForStore();
      expect(ownership.isServedHere('lots')).to.equal(false);
      expect(ownership.findServingVm('lots')).to.equal('c');
    });
  });

  describe('when it hands groups over', () => {
    it('marks the record as handed over, so that the next owner need not wait', async () => {
      const { ownership, own, state, read } = fixture;
      await own('lots');
      state.vms = [createVmView('a'), createVmView('b')];
      await ownership.handOver('lots');
      const stored = JSON.parse(read('auburngrade/groups/lots')?.value ?? '{}');
      expect(stored).to.deep.include({ owner: 'b', incarnation: 'b-1', isHandedOver: true });
      expect(ownership.isOwnedHere('lots')).to.equal(false);
    });

    it('stays authoritative for 1 s afterwards, so that commits in flight are acknowledged', async () => {
      const { ownership, own, state, clock } = fixture;
      await own('lots');
      state.vms = [createVmView('a'), createVmView('b')];
      await ownership.handOver('lots');
      clock.ms += 900;
      expect(ownership.isAuthoritative('lots')).to.equal(true);
      clock.ms += 200;
      expect(ownership.isAuthoritative('lots')).to.equal(false);
    });

    it('grants the time for commits under way to the tenure that ended', async () => {
      const { ownership, own } = fixture;
      await own('lots');
      const tenure = ownership.findTenure('lots');
      fixture.state.vms = [createVmView('a'), createVmView('b')];
      await ownership.handOver('lots');
      expect(ownership.isInHandoverGrace('lots', tenure)).to.equal(true);
      expect(ownership.isInHandoverGrace('lots', 'owner 9')).to.equal(false);
    });

    it('replaces no primary while it stops', async () => {
      const { ownership, own, state, clock } = fixture;
      await own('lots');
      state.holdsPeerLease = true;
      ownership.reconcile(['lots']);
      clock.ms += 10_000;
      expect(ownership.mayReplacePrimary('lots')).to.equal(true);
      state.isLeaving = true;
      expect(ownership.mayReplacePrimary('lots')).to.equal(false);
    });

    it('is not authoritative afterwards once a newer record is known', async () => {
      const { ownership, own, state, storeAndCacheRecord, record } = fixture;
      await own('lots');
      state.vms = [createVmView('a'), createVmView('b')];
      await ownership.handOver('lots');
      storeAndCacheRecord('lots', record('b', { primary: 'r', fence: 1 }));
      expect(ownership.isAuthoritative('lots')).to.equal(false);
    });

    it('hands a group to a VM that is not strained when it is short of processor time', async () => {
      const { ownership, own, state, waitForStore } = fixture;
      await own('lots');
      state.vms = [createVmView('a', { isStrained: true }), createVmView('b')];
      state.isStrained = true;
      ownership.reconcile(['lots']);
      await waitForStore();
      expect(ownership.getRecord('lots')?.owner).to.equal('b');
    });

    it('keeps a group while it replaces the primary', async () => {
      const { ownership, state, waitForStore, own } = fixture;
      await own('lots');
      state.vms = [createVmView('a', { isStrained: true }), createVmView('b')];
      state.isStrained = true;
      state.isReplacingPrimary = true;
      ownership.reconcile(['lots']);
      await waitForStore();
      expect(ownership.isOwnedHere('lots')).to.equal(true);
      state.isReplacingPrimary = false;
      ownership.reconcile(['lots']);
      await waitForStore();
      expect(ownership.getRecord('lots')?.owner).to.equal('b');
    });

    describe('in an evacuated data centre', () => {
      const evacuated = { isInEvacuatedDataCentre: true };

      it('hands its groups to another data centre one at a time, once their primaries have moved', async () => {
        const { ownership, own, state, waitForStore, clock } = fixture;
        await own('bids');
        await own('lots');
        const elsewhere = createVmView('c', { dataCentre: 'temple' });
        state.vms = [createVmView('a', evacuated), createVmView('b', evacuated), elsewhere];
        state.primaryPhase = 'evacuating';
        const countOwned = (): number =>
          ['bids', 'lots'].filter((group) => ownership.isOwnedHere(group)).length;
        const reconcile = async (): Promise<void> => {
          ownership.reconcile(['bids', 'lots']);
          await waitForStore();
        };
        clock.ms += 5_000;
        await reconcile();
        expect(countOwned()).to.equal(2);
        state.primaryPhase = 'inService';
        await reconcile();
        await reconcile();
        expect(countOwned()).to.equal(1);
        clock.ms += 701;
        await reconcile();
        expect(countOwned()).to.equal(0);
        expect(ownership.getRecord('lots')).to.deep.include({ owner: 'c', isHandedOver: true });
      });

      it('keeps its groups where all others are evacuated too', async () => {
        const { ownership, own, state, waitForStore, clock } = fixture;
        await own('lots');
        const other = createVmView('c', { ...evacuated, dataCentre: 'temple' });
        state.vms = [createVmView('a', evacuated), other];
        clock.ms += 5_000;
        ownership.reconcile(['lots']);
        await waitForStore();
        expect(ownership.isOwnedHere('lots')).to.equal(true);
      });
    });

    it('leaves a group with an evacuated primary to VMs that reach the store, if it does not', async () => {
      const { ownership, own, state } = fixture;
      await own('lots');
      const turnedAway = createVmView('a', { isStoreReachable: false });
      state.vms = [turnedAway, createVmView('b')];
      expect(ownership.isLeftToOthers('lots')).to.equal(false);
      state.primaryPhase = 'evacuating';
      expect(ownership.isLeftToOthers('lots')).to.equal(true);
      state.vms = [turnedAway, createVmView('b', { isStoreReachable: false })];
      expect(ownership.isLeftToOthers('lots')).to.equal(false);
      state.vms = [createVmView('a'), createVmView('b')];
      expect(ownership.isLeftToOthers('lots')).to.equal(false);
    });

    it('does not hand groups to and fro while VMs in an evacuated data centre own none', async () => {
      const { ownership, own, state, waitForStore, clock } = fixture;
      await own('bids');
      await own('lots');
      state.vms = [createVmView('a'), createVmView('c', { isInEvacuatedDataCentre: true })];
      clock.ms += 5_000;
      ownership.reconcile(['bids', 'lots']);
      await waitForStore();
      expect(['bids', 'lots'].every((group) => ownership.isOwnedHere(group))).to.equal(true);
    });

    it('hands over a group whose primary has been in its own data centre for 2 s', async () => {
      const { ownership, own, state, waitForStore, clock } = fixture;
      await own('lots');
      state.vms = [
        createVmView('a'),
        createVmView('b'),
        createVmView('c', { dataCentre: 'temple' }),
      ];
      state.primaryDataCentre = 'waco';
      ownership.reconcile(['lots']);
      clock.ms += 1_500;
      ownership.reconcile(['lots']);
      await waitForStore();
      expect(ownership.isOwnedHere('lots')).to.equal(true);
      clock.ms += 600;
      ownership.reconcile(['lots']);
      await waitForStore();
      expect(ownership.getRecord('lots')).to.deep.include({ owner: 'c', isHandedOver: true });
    });

    it('hands one of the two groups of its data centre to a data centre that owns none', async () => {
      const { ownership, own, storeAndCacheRecord, record, state, waitForStore, clock } = fixture;
      await own('lots');
      storeAndCacheRecord('bids', record('b'));
      state.vms = [
        createVmView('a'),
        createVmView('b'),
        createVmView('c', { dataCentre: 'temple' }),
      ];
      ownership.reconcile(['lots', 'bids']);
      clock.ms += 2_100;
      state.servedAtMs = clock.ms;
      ownership.reconcile(['lots', 'bids']);
      await waitForStore();
      expect(ownership.getRecord('lots')).to.deep.include({ owner: 'c', isHandedOver: true });
    });

    it('keeps a group with its primary in the same data centre when no other data centre has VMs', async () => {
      const { ownership, own, state, waitForStore, clock } = fixture;
      await own('lots');
      state.vms = [createVmView('a'), createVmView('b')];
      state.primaryDataCentre = 'waco';
      ownership.reconcile(['lots']);
      clock.ms += 3_000;
      ownership.reconcile(['lots']);
      await waitForStore();
      expect(ownership.isOwnedHere('lots')).to.equal(true);
    });

    it('hands over no surplus group while the other VMs cannot reach the store', async () => {
      const { ownership, own, state, waitForStore } = fixture;
      await own('lots');
      await own('bales');
      state.vms = [createVmView('a'), createVmView('b', { isStoreReachable: false })];
      ownership.reconcile(['lots', 'bales']);
      await waitForStore();
      expect(['lots', 'bales'].every(ownership.isOwnedHere)).to.equal(true);
      state.vms = [createVmView('a'), createVmView('b')];
      ownership.reconcile(['lots', 'bales']);
      await waitForStore();
      expect(['lots', 'bales'].every(ownership.isOwnedHere)).to.equal(false);
    });
  });
});
