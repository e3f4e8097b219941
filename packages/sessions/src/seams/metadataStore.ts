import type StoreLease from './storeLease';
import type StorePosition from './storePosition';
import type StoredItem from './storedItem';

/** A change of a key: the new item, or its deletion. */
type StoreEvent = StoredItem | { key: string; revision: number; isDeleted: true };

/** A transaction: applied only when all expected revisions match. */
interface StoreCommit {
  /** Era of the store that the expected revisions belong to. */
  era: number;
  /** Required revision of each key; 0 means that the key must not exist. */
  expected: readonly { key: string; revision: number }[];
  puts: readonly { key: string; value: string; lease?: number }[];
  deletedKeys?: readonly string[];
}

type CommitOutcome = { kind: 'committed'; revision: number } | { kind: 'conflict' | 'leaseEnded' };

/**
 * Client of the platform's store. Calls reject with StoreError; so does a commit that matched its expected
 * revisions in another era than theirs.
 */
abstract class MetadataStore {
  /** Highest era of the store that was observed; 0 before the first answer, and for a store without eras. */
  abstract era(): number;
  /** Registers a listener, called when the store's era has risen. */
  abstract onEraChange(listener: () => void): void;
  abstract get(key: string): Promise<{ item: StoredItem | undefined; era: number }>;
  abstract list(prefix: string): Promise<StorePosition & { items: StoredItem[] }>;
  /**
   * Waits for changes after a position; 'compacted' when these are no longer retained, or when the store's
   * era is, or becomes, another one.
   */
  abstract watch(
    prefix: string,
    after: StorePosition,
    waitMs: number,
  ): Promise<{ events: StoreEvent[]; revision: number } | 'compacted'>;

  abstract commit(commit: StoreCommit): Promise<CommitOutcome>;
  abstract grantLease(ttlMs: number): Promise<StoreLease>;
  /** Renews a lease; resolves with false when it has ended. */
  abstract renewLease(lease: StoreLease): Promise<boolean>;
  abstract revokeLease(lease: StoreLease): Promise<void>;
}

export default MetadataStore;
