import { expect } from 'chai';
import createFakeStore from '../standIns/createFakeStore';
import createStoreWatcher from './createStoreWatcher';
import sleep from '../time/sleep';

describe('createStoreWatcher', () => {
  const store = createFakeStore();
  const seen: string[] = [];
  let watcher: ReturnType<typeof createStoreWatcher>;

  before(async () => {
    store.put('documents/1', '0');
    watcher = createStoreWatcher({
      store: store.store,
      prefix: 'documents/',
      waitMs: () => 5_000,
      log: { info: () => undefined, warn: () => undefined },
      onList: (items) => seen.push(...items.map(({ value }) => value)),
      onEvents: (events) =>
        seen.push(...events.flatMap((event) => ('value' in event ? [event.value] : []))),
    });
    await sleep(30);
  });
  after(() => {
    watcher.close();
    store.close();
  });

  it('delivers a change without waiting for the watch to end', async () => {
    store.put('documents/1', '1');
    await sleep(40);
    expect(seen).to.deep.equal(['0', '1']);
  });

  describe('under a burst of changes', () => {
    it('fetches several changes per call and ends with the newest', async () => {
      await sleep(250);
      const before = store.countCalls();
      for (let version = 2; version <= 26; version += 1) {
        store.put('documents/1', String(version));
        await sleep(40);
      }
      await sleep(300);
      expect(seen.at(-1)).to.equal('26');
      expect(store.countCalls() - before).to.be.below(9);
    });
  });

  describe('after the store was restored from an older copy', () => {
    it('delivers a change whose revision the store has given out before', async () => {
      await sleep(250);
      const copy = store.copy();
      store.put('documents/1', 'lost');
      await sleep(260);
      store.restore(copy);
      store.put('documents/1', 'written after');
      store.put('other', '');
      await sleep(60);
      expect(seen.slice(-2)).to.deep.equal(['lost', 'written after']);
    });
  });
});
