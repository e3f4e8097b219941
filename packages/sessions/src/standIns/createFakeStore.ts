import MetadataStore from '../seams/metadataStore';
import StoreError from '../seams/storeError';
import type StoredItem from '../seams/storedItem';
import sleep from '../time/sleep';

const WATCH_POLL_INTERVAL_MS = 10;

/** In-memory fake of the platform's store, as a `MetadataStore`. Watches poll; leases end only by revocation. */
const createFakeStore = () => {
  const items = new Map<string, StoredItem>();
  const deletions = new Map<string, { key: string; revision: number; isDeleted: true }>();
  const keysByLease = new Map<number, Set<string>>();
  let revision = 1;
  let isDown = false;
  let callCount = 0;
  let isClosed = false;

  const beginCall = async (): Promise<void> => {
    callCount += 1;
    await Promise.resolve();
    if (isDown) throw new StoreError('notRun', 'the fake store is down');
  };

  class FakeStore extends MetadataStore {
    override async get(key: string) {
      await beginCall();
      return items.get(key);
    }

    override async list(prefix: string) {
      await beginCall();
      return { items: [...items.values()].filter(({ key }) => key.startsWith(prefix)), revision };
    }

    override async watch(prefix: string, afterRevision: number, waitMs: number) {
      await beginCall();
      const findChanges = () =>
        [...items.values(), ...deletions.values()].filter(
          (item) => item.key.startsWith(prefix) && item.revision > afterRevision,
        );
      const deadlineMs = performance.now() + waitMs;
      while (findChanges().length === 0 && performance.now() < deadlineMs && !isDown && !isClosed) {
        await sleep(WATCH_POLL_INTERVAL_MS);
      }
      return { events: findChanges(), revision };
    }

    override async commit({ expected, puts }: Parameters<MetadataStore['commit']>[0]) {
      await beginCall();
      const hasExpectedRevisions = expected.every(
        (row) => (items.get(row.key)?.revision ?? 0) === row.revision,
      );
      if (!hasExpectedRevisions) return { kind: 'conflict' as const };
      revision += 1;
      puts.forEach(({ key, value, lease }) => {
        items.set(key, { key, value, revision });
        deletions.delete(key);
        keysByLease.forEach((keys) => keys.delete(key));
        if (lease !== undefined) keysByLease.get(lease)?.add(key);
      });
      return { kind: 'committed' as const, revision };
    }

    override async grantLease(ttlMs: number) {
      await beginCall();
      const lease = keysByLease.size + 1;
      keysByLease.set(lease, new Set());
      return { lease, ttlMs };
    }

    override async renewLease() {
      await beginCall();
      return true;
    }

    override async revokeLease(lease: number) {
      await beginCall();
      revision += 1;
      keysByLease.get(lease)?.forEach((key) => {
        items.delete(key);
        deletions.set(key, { key, revision, isDeleted: true });
      });
    }
  }

  return {
    store: new FakeStore() as MetadataStore,
    setDown: (next: boolean): void => {
      isDown = next;
    },
    put: (key: string, value: string): void => {
      revision += 1;
      items.set(key, { key, value, revision });
    },
    read: (key: string) => items.get(key),
    countCalls: () => callCount,
    /** Ends all watches; later calls fail. */
    close: (): void => {
      isClosed = true;
      isDown = true;
    },
  };
};

export default createFakeStore;
