import MetadataStore from '../seams/metadataStore';
import StoreError from '../seams/storeError';
import type StoreLease from '../seams/storeLease';
import type StorePosition from '../seams/storePosition';
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
  let era = 1;
  const eraListeners: (() => void)[] = [];

  const beginCall = async (): Promise<void> => {
    callCount += 1;
    await Promise.resolve();
    if (isDown) throw new StoreError('notRun', 'the fake store is down');
  };

  class FakeStore extends MetadataStore {
    override era() {
      return era;
    }

    override onEraChange(listener: () => void) {
      eraListeners.push(listener);
    }

    override async get(key: string) {
      await beginCall();
      const item = items.get(key);
      return { item: item && { ...item, era }, era };
    }

    override async list(prefix: string) {
      await beginCall();
      const listed = [...items.values()].filter(({ key }) => key.startsWith(prefix));
      return { items: listed.map((item) => ({ ...item, era })), era, revision };
    }

    override async watch(prefix: string, after: StorePosition, waitMs: number) {
      await beginCall();
      if (after.era !== era) return 'compacted' as const;
      const findChanges = () =>
        [...items.values(), ...deletions.values()].filter(
          (item) => item.key.startsWith(prefix) && item.revision > after.revision,
        );
      const deadlineMs = performance.now() + waitMs;
      while (findChanges().length === 0 && performance.now() < deadlineMs && !isDown && !isClosed) {
        await sleep(WATCH_POLL_INTERVAL_MS);
        if (after.era !== era) return 'compacted' as const;
      }
      return { events: findChanges(), revision };
    }

    override async commit({
      era: eraOfCommit,
      expected,
      puts,
    }: Parameters<MetadataStore['commit']>[0]) {
      await beginCall();
      const hasExpectedRevisions = expected.every(
        (row) => (items.get(row.key)?.revision ?? 0) === row.revision,
      );
      if (!hasExpectedRevisions) return { kind: 'conflict' as const };
      revision += 1;
      puts.forEach(({ key, value, lease }) => {
        items.set(key, { key, value, revision, era });
        deletions.delete(key);
        keysByLease.forEach((keys) => keys.delete(key));
        if (lease !== undefined) keysByLease.get(lease)?.add(key);
      });
      if (eraOfCommit !== era) throw new StoreError('mayHaveRun', 'committed in another era');
      return { kind: 'committed' as const, revision };
    }

    override async grantLease(ttlMs: number) {
      await beginCall();
      const lease = Math.max(0, ...keysByLease.keys()) + 1;
      keysByLease.set(lease, new Set());
      return { id: lease, era, ttlMs };
    }

    override async renewLease(lease: StoreLease) {
      await beginCall();
      return lease.era === era && keysByLease.has(lease.id);
    }

    override async revokeLease(lease: StoreLease) {
      await beginCall();
      if (lease.era !== era) return;
      revision += 1;
      keysByLease.get(lease.id)?.forEach((key) => {
        items.delete(key);
        deletions.set(key, { key, revision, isDeleted: true });
      });
      keysByLease.delete(lease.id);
    }
  }

  return {
    store: new FakeStore() as MetadataStore,
    setDown: (next: boolean): void => {
      isDown = next;
    },
    put: (key: string, value: string): void => {
      revision += 1;
      items.set(key, { key, value, revision, era });
    },
    /** Removes a key, as the end of its lease does. */
    remove: (key: string): void => {
      if (!items.delete(key)) return;
      revision += 1;
      deletions.set(key, { key, revision, isDeleted: true });
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
      era += 1;
      revision = earlier.revision;
      items.clear();
      deletions.clear();
      keysByLease.clear();
      earlier.items.forEach((item, key) => items.set(key, item));
      earlier.deletions.forEach((deletion, key) => deletions.set(key, deletion));
      earlier.keysByLease.forEach((keys, lease) => keysByLease.set(lease, new Set(keys)));
      eraListeners.forEach((listener) => listener());
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
