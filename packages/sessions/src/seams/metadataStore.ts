import type StoredItem from './storedItem';

/** A change under a prefix. */
type StoreEvent = StoredItem | { key: string; revision: number; isDeleted: true };

interface StoreCommit {
  /** Revisions that the keys must have; 0 means that the key must not exist. */
  expected: readonly { key: string; revision: number }[];
  puts: readonly { key: string; value: string; lease?: number }[];
  removes?: readonly string[];
}

type CommitOutcome = { kind: 'committed'; revision: number } | { kind: 'conflict' | 'leaseEnded' };

/** The platform's store. Calls throw StoreError. */
abstract class MetadataStore {
  abstract get(key: string): Promise<StoredItem | undefined>;
  abstract list(prefix: string): Promise<{ items: StoredItem[]; revision: number }>;
  /** Resolves with the changes after a revision, or with 'compacted' when they are not kept. */
  abstract watch(
    prefix: string,
    afterRevision: number,
    waitMs: number,
  ): Promise<{ events: StoreEvent[]; revision: number } | 'compacted'>;

  abstract commit(commit: StoreCommit): Promise<CommitOutcome>;
  abstract grantLease(ttlMs: number): Promise<{ lease: number; ttlMs: number }>;
  /** Resolves with false when the lease has ended. */
  abstract keepLease(lease: number): Promise<boolean>;
  abstract endLease(lease: number): Promise<void>;
}

export default MetadataStore;
