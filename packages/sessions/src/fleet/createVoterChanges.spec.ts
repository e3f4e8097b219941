import { expect } from 'chai';
import createFakeStore from '../standIns/createFakeStore';
import createDocuments from './createDocuments';
import createVoterChanges from './createVoterChanges';
import type Fleet from './fleet';
import readDocumentOrigin from './readDocumentOrigin';
import readVoterSet from './readVoterSet';
import storeKeys from './storeKeys';

const createFixture = () => {
  const standIn = createFakeStore();
  const log = { info: () => undefined, warn: () => undefined };
  const nowMs = (): number => performance.now();
  const documents = createDocuments({ nowMs, log, readOrigin: readDocumentOrigin });
  const state = {
    holdsPeerLease: true,
    isKnownByMajority: true,
    isSettled: true,
    isNewerKnownElsewhere: false,
    isStoreViewCurrent: true,
    joining: [] as string[],
    leaving: [] as string[],
    lost: [] as string[],
  };
  const voterSet = () => readVoterSet(documents.get(storeKeys.voterSet)?.value ?? '');
  const fleet = {
    voterSet,
    isLeaving: () => false,
    isSettled: () => state.isSettled,
    holdsPeerLease: () => state.holdsPeerLease,
    isKnownByMajority: () => state.isKnownByMajority,
    isNewerKnownElsewhere: () => state.isNewerKnownElsewhere,
    vmsReachingStore: () => ['a'],
    listFirstVoters: () => ['a', 'b', 'c'],
    listJoiningVoters: () => state.joining,
    listLeavingVoters: () => state.leaving,
    listLostVoters: () => state.lost,
    publish: () => undefined,
  } as Partial<Fleet> as Fleet;
  const changes = createVoterChanges({
    self: { vm: 'a' },
    store: standIn.store,
    documents,
    fleet,
    log,
    nowMs,
    isStoreViewCurrent: () => state.isStoreViewCurrent,
  });
  const update = async (): Promise<string[]> => {
    changes.update();
    await new Promise((resolve) => {
      setTimeout(resolve, 5);
    });
    return [...(readVoterSet(standIn.read(storeKeys.voterSet)?.value ?? '')?.vms ?? [])];
  };
  return { ...standIn, state, documents, changes, update, voterSet };
};

describe('createVoterChanges', () => {
  let fixture: ReturnType<typeof createFixture>;
  const startWithThree = async (): Promise<void> => {
    expect(await fixture.update()).to.deep.equal(['a', 'b', 'c']);
  };
  beforeEach(() => {
    fixture = createFixture();
  });

  describe('without a recorded set', () => {
    it('writes none before it is settled, or while another VM knows one', async () => {
      fixture.state.isSettled = false;
      expect(await fixture.update()).to.deep.equal([]);
      Object.assign(fixture.state, { isSettled: true, isNewerKnownElsewhere: true });
      expect(await fixture.update()).to.deep.equal([]);
    });

    it('leaves a set that the store has got meanwhile', async () => {
      fixture.put(storeKeys.voterSet, JSON.stringify({ version: 3, vms: ['x'], era: 1 }));
      await fixture.update();
      expect(fixture.voterSet()?.vms).to.deep.equal(['x']);
    });
  });

  describe('with VMs that join', () => {
    it('takes in as many at a time as keep the majorities in touch', async () => {
      await startWithThree();
      fixture.state.joining = ['d', 'e', 'f'];
      expect(await fixture.update()).to.deep.equal(['a', 'b', 'c', 'd']);
      expect(await fixture.update()).to.deep.equal(['a', 'b', 'c', 'd', 'e', 'f']);
    });

    // Guards against sets two steps apart, whose majorities need not meet, in use at once.
    it('makes no next step before a majority knows the one before', async () => {
      await startWithThree();
      Object.assign(fixture.state, { joining: ['d'], isKnownByMajority: false });
      expect(await fixture.update()).to.deep.equal(['a', 'b', 'c']);
      fixture.state.isKnownByMajority = true;
      expect(await fixture.update()).to.deep.equal(['a', 'b', 'c', 'd']);
    });

    it('changes nothing that no majority confirms, or that its view of the store is too old for', async () => {
      await startWithThree();
      Object.assign(fixture.state, { joining: ['d'], holdsPeerLease: false });
      expect(await fixture.update()).to.deep.equal(['a', 'b', 'c']);
      Object.assign(fixture.state, { holdsPeerLease: true, isStoreViewCurrent: false });
      expect(await fixture.update()).to.deep.equal(['a', 'b', 'c']);
    });

    it('adopts a set that another VM wrote first', async () => {
      await startWithThree();
      fixture.put(storeKeys.voterSet, JSON.stringify({ version: 2, vms: ['a', 'b'], era: 1 }));
      fixture.state.joining = ['d'];
      await fixture.update();
      expect(fixture.voterSet()).to.include({ version: 2 });
    });
  });

  describe('when this VM stops', () => {
    it('takes itself out, and leaves an empty set as the last one', async () => {
      await startWithThree();
      await fixture.changes.leave(1_000);
      expect(fixture.voterSet()?.vms).to.deep.equal(['b', 'c']);
      fixture.put(storeKeys.voterSet, JSON.stringify({ version: 9, vms: ['a'], era: 1 }));
      const item = fixture.read(storeKeys.voterSet);
      if (item) fixture.documents.putIfNewer(item);
      await fixture.changes.leave(1_000);
      expect(fixture.voterSet()).to.deep.include({ version: 10, vms: [] });
      expect(await fixture.update()).to.deep.equal(['a', 'b', 'c']);
    });

    it('gives up in time while no majority knows the set', async () => {
      await startWithThree();
      fixture.state.isKnownByMajority = false;
      await fixture.changes.leave(150);
      expect(fixture.voterSet()?.vms).to.deep.equal(['a', 'b', 'c']);
    });
  });

  it('goes on without voters that have been lost for long, only while no majority is left', async () => {
    await startWithThree();
    fixture.state.lost = ['b', 'c'];
    expect(await fixture.update()).to.deep.equal(['a', 'b', 'c']);
    fixture.state.holdsPeerLease = false;
    expect(await fixture.update()).to.deep.equal(['a']);
  });

  it('writes the known set again over the older one of a restored store', async () => {
    await startWithThree();
    const copy = fixture.copy();
    fixture.state.joining = ['d'];
    await fixture.update();
    fixture.restore(copy);
    fixture.state.joining = [];
    expect(await fixture.update()).to.deep.equal(['a', 'b', 'c', 'd']);
    expect(fixture.voterSet()).to.include({ version: 3, era: 2 });
  });
});
