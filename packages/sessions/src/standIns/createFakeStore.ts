import MetadataStore from '../seams/metadataStore';
import StoreError from '../seams/storeError';
import type StoredItem from '../seams/storedItem';
import sleep from '../time/sleep';

const WATCH_POLL_INTERVAL_MS = 10;

interface Deletion {
  key: string;
  revision: number;
  isDeleted: true;
}

interface StoreCopy {
  revision: number;
  items: ReadonlyMap<string, StoredItem>;
  deletions: ReadonlyMap<string, Deletion>;
  keysByLease: ReadonlyMap<number, ReadonlySet<string>>;
}

/**
 * In-memory fake of the platform's store, as a `MetadataStore`. Watches poll; leases end only by revocation,
 * and when the store is restored from a copy that was made before they were granted.
 */
const createFakeStore = () => {
  const items = new Map<string, StoredItem>();
  const deletions = new Map<string, Deletion>();
  const keysByLease = new Map<number, Set<string>>();
  let revision = 1;
  let isDown = false;
  let callCount = 0;
  let isClosed = false;
  let restoreCount = 0;

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
      if (afterRevision > revision) return 'compacted' as const;
      const restoresBefore = restoreCount;
      const findChanges = () =>
        [...items.values(), ...deletions.values()].filter(
          (item) => item.key.startsWith(prefix) && item.revision > afterRevision,
        );
      const deadlineMs = performance.now() + waitMs;
      while (findChanges().length === 0 && performance.now() < deadlineMs && !isDown && !isClosed) {
        await sleep(WATCH_POLL_INTERVAL_MS);
        if (restoreCount !== restoresBefore)
          throw new StoreError('notRun', 'the fake store was restored');
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
      const lease = Math.max(0, ...keysByLease.keys()) + 1;
      keysByLease.set(lease, new Set());
      return { lease, ttlMs };
    }

    override async renewLease(lease: number) {
      await beginCall();
      return keysByLease.has(lease);
    }

    override async revokeLease(lease: number) {
      await beginCall();
      revision += 1;
      keysByLease.get(lease)?.forEach((key) => {
        items.delete(key);
        deletions.set(key, { key, revision, isDeleted: true });
      });
      keysByLease.delete(lease);
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
    /** A copy of the store's present contents, for `restore`. */
    copy: (): StoreCopy => ({
      revision,
      items: new Map(items),
      deletions: new Map(deletions),
      keysByLease: new Map([...keysByLease].map(([lease, keys]) => [lease, new Set(keys)])),
    }),
    /** Replaces the contents by those of an earlier copy: later writes, leases and revisions are lost. */
    restore: (earlier: StoreCopy): void => {
      restoreCount += 1;
      revision = earlier.revision;
      items.clear();
      deletions.clear();
      keysByLease.clear();
      earlier.items.forEach((item, key) => items.set(key, item));
      earlier.deletions.forEach((deletion, key) => deletions.set(key, deletion));
      earlier.keysByLease.forEach((keys, lease) => keysByLease.set(lease, new Set(keys)));
    },
    countCalls: () => callCount,
    /** Ends all watches; later calls fail. */
    close: (): void => {
      isClosed = true;
      isDown = true;
    },
  };
};

export default createFakeStore;
