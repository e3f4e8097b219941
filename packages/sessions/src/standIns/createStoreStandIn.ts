import MetadataStore from '../seams/metadataStore';
import StoreError from '../seams/storeError';
import type StoredItem from '../seams/storedItem';

/** The platform's store in memory, behind the product's own seam. */
const createStoreStandIn = () => {
  const items = new Map<string, StoredItem>();
  let revision = 1;
  let isDown = false;
  let calls = 0;

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

    override async watch(prefix: string, afterRevision: number) {
      await enter();
      const events = [...items.values()].filter(
        (item) => item.key.startsWith(prefix) && item.revision > afterRevision,
      );
      return { events, revision };
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
  };
};

export default createStoreStandIn;
