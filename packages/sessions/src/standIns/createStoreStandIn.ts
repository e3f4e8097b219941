import MetadataStore from '../seams/metadataStore';
import StoreError from '../seams/storeError';
import type StoredItem from '../seams/storedItem';

const POLL_MS = 10;

const pause = (ms: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

/** The platform's store in memory, behind the product's own seam. */
const createStoreStandIn = () => {
  const items = new Map<string, StoredItem>();
  let revision = 1;
  let isDown = false;
  let calls = 0;
  let isClosed = false;

  const enter = async (): Promise<void> => {
    calls += 1;
    await Promise.resolve();
    if (isDown) throw new StoreError('notRun', 'the store is down');
  };

  class StandInStore extends MetadataStore {
    override async get(key: string) {
      await enter();
      return items.get(key);
    }

    override async list(prefix: string) {
      await enter();
      return { items: [...items.values()].filter(({ key }) => key.startsWith(prefix)), revision };
    }

    override async watch(prefix: string, afterRevision: number, waitMs: number) {
      await enter();
      const find = (): StoredItem[] =>
        [...items.values()].filter(
          (item) => item.key.startsWith(prefix) && item.revision > afterRevision,
        );
      const untilMs = performance.now() + waitMs;
      while (find().length === 0 && performance.now() < untilMs && !isDown && !isClosed) {
        await pause(POLL_MS);
      }
      return { events: find(), revision };
    }

    override async commit({ expected, puts }: Parameters<MetadataStore['commit']>[0]) {
      await enter();
      const isMet = expected.every((row) => (items.get(row.key)?.revision ?? 0) === row.revision);
      if (!isMet) return { kind: 'conflict' as const };
      revision += 1;
      puts.forEach(({ key, value }) => items.set(key, { key, value, revision }));
      return { kind: 'committed' as const, revision };
    }

    override async grantLease(ttlMs: number) {
      await enter();
      return { lease: 1, ttlMs };
    }

    override async keepLease() {
      await enter();
      return true;
    }

    override async endLease() {
      await enter();
    }
  }

  return {
    store: new StandInStore() as MetadataStore,
    setDown: (next: boolean): void => {
      isDown = next;
    },
    put: (key: string, value: string): void => {
      revision += 1;
      items.set(key, { key, value, revision });
    },
    read: (key: string) => items.get(key),
    calls: () => calls,
    /** Ends all watches. */
    close: (): void => {
      isClosed = true;
      isDown = true;
    },
  };
};

export default createStoreStandIn;
