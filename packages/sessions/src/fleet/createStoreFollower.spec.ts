import { expect } from 'chai';
import createStoreStandIn from '../standIns/createStoreStandIn';
import createStoreFollower from './createStoreFollower';

const pause = (ms: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

describe('createStoreFollower', () => {
  const store = createStoreStandIn();
  const seen: string[] = [];
  let follower: ReturnType<typeof createStoreFollower>;

  before(async () => {
    store.put('documents/1', '0');
    follower = createStoreFollower({
      store: store.store,
      prefix: 'documents/',
      waitMs: () => 5_000,
      log: { info: () => undefined, warn: () => undefined },
      onList: (items) => seen.push(...items.map(({ value }) => value)),
      onEvents: (events) =>
        seen.push(...events.flatMap((event) => ('value' in event ? [event.value] : []))),
    });
    await pause(30);
  });
  after(() => {
    follower.close();
    store.close();
  });

  it('hears of a change at once', async () => {
    store.put('documents/1', '1');
    await pause(40);
    expect(seen).to.deep.equal(['0', '1']);
  });

  describe('under a storm of changes', () => {
    it('asks for several of them with one call, and ends with the newest', async () => {
      await pause(250);
      const before = store.calls();
      for (let version = 2; version <= 26; version += 1) {
        store.put('documents/1', String(version));
        await pause(40);
      }
      await pause(300);
      expect(seen.at(-1)).to.equal('26');
      expect(store.calls() - before).to.be.below(9);
    });
  });
});
