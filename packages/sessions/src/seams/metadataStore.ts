import type StoredItem from './storedItem';

/** A change of a key: the new item, or its deletion. */
type StoreEvent = StoredItem | { key: string; revision: number; isDeleted: true };

/** A transaction: applied only when all expected revisions match. */
interface StoreCommit {
  /** Required revision of each key; 0 means that the key must not exist. */
  expected: readonly { key: string; revision: number }[];
  puts: readonly { key: string; value: string; lease?: number }[];
  deletedKeys?: readonly string[];
}

type CommitOutcome = { kind: 'committed'; revision: number } | { kind: 'conflict' | 'leaseEnded' };

/** Client of the platform's store. Calls reject with StoreError. */
abstract class MetadataStore {
  abstract get(key: string): Promise<StoredItem | undefined>;
  abstract list(prefix: string): Promise<{ items: StoredItem[]; revision: number }>;
  /** Waits for changes after a revision; 'compacted' when these are no longer retained. */
  abstract watch(
    prefix: string,
    afterRevision: number,
    waitMs: number,
  ): Promise<{ events: StoreEvent[]; revision: number } | 'compacted'>;

  abstract commit(commit: StoreCommit): Promise<CommitOutcome>;
  abstract grantLease(ttlMs: number): Promise<{ lease: number; ttlMs: number }>;
  /** Renews a lease; resolves with false when it has ended. */
  abstract renewLease(lease: number): Promise<boolean>;
  abstract revokeLease(lease: number): Promise<void>;
}

export default MetadataStore;
