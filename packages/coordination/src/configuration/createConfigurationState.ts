import type ConfigurationEntry from './configurationEntry';
import type ConfigurationState from './configurationState';
import type DocumentKind from './documentKind';
import documentIn from './documentIn';
import documentKinds from './documentKinds';
import type DocumentOf from './documentOf';

/** How many deletions are remembered by key. */
const DEFAULT_MAX_TOMBSTONES = 10_000;

/** How many gaps are told apart. */
const MAX_GAPS = 8;

interface Gap {
  from: number;
  to: number;
}

interface Stored {
  entry: ConfigurationEntry;
  kind: DocumentKind;
  document: unknown;
}

const kindOf = (key: string): DocumentKind | undefined => {
  const kinds = Object.keys(documentKinds) as DocumentKind[];
  return kinds.find((kind) => key.startsWith(documentKinds[kind].prefix));
};

const parseDocument = (kind: DocumentKind, valueJson: string): unknown => {
  try {
    const parsed = documentKinds[kind].schema.safeParse(documentIn(valueJson));
    return parsed.success ? parsed.data : undefined;
  } catch {
    return undefined;
  }
};

/** Creates an empty configuration state; a value that fails its schema counts as absent. */
const createConfigurationState = (
  maxTombstones: number = DEFAULT_MAX_TOMBSTONES,
): ConfigurationState => {
  const stored = new Map<string, Stored>();
  const byKind = new Map<DocumentKind, Map<string, unknown>>();
  const listeners = new Set<(changed: readonly ConfigurationEntry[]) => void>();
  const tombstones = new Map<string, number>();
  let knownRevision = 0;
  /** The latest deletion whose tombstone was dropped. */
  let forgottenRevision = 0;
  /** Spans of revisions passed over by a snapshot, whose own deletions are not known. */
  let gaps: Gap[] = [];

  const documentsOf = (kind: DocumentKind): Map<string, unknown> => {
    const existing = byKind.get(kind);
    if (existing) return existing;
    const created = new Map<string, unknown>();
    byKind.set(kind, created);
    return created;
  };

  const store = (entry: ConfigurationEntry): boolean => {
    const kind = kindOf(entry.key);
    if (!kind) return false;
    const current = stored.get(entry.key);
    if (current && current.entry.modRevision >= entry.modRevision) return false;
    tombstones.delete(entry.key);
    if (entry.valueJson === undefined) tombstones.set(entry.key, entry.modRevision);
    const name = entry.key.slice(documentKinds[kind].prefix.length);
    const document =
      entry.valueJson === undefined ? undefined : parseDocument(kind, entry.valueJson);
    stored.set(entry.key, { entry, kind, document });
    if (document === undefined) documentsOf(kind).delete(name);
    else documentsOf(kind).set(name, document);
    return true;
  };

  /** A change that the known revision covers is a duplicate or was overtaken. */
  const storeChange = (entry: ConfigurationEntry): boolean =>
    entry.modRevision > knownRevision && store(entry);

  /** Forgets the oldest deletions among those that the known revision covers. */
  const trimTombstones = (): void => {
    for (const [key, modRevision] of tombstones) {
      if (tombstones.size <= maxTombstones) return;
      if (modRevision <= knownRevision) {
        tombstones.delete(key);
        stored.delete(key);
        forgottenRevision = Math.max(forgottenRevision, modRevision);
      }
    }
  };

  const addGap = (from: number, to: number): void => {
    if (to <= from + 1) return;
    const [first, second, ...rest] = [...gaps, { from, to }];
    const isFull = gaps.length === MAX_GAPS && first && second;
    gaps = isFull ? [{ from: first.from, to: second.to }, ...rest] : [...gaps, { from, to }];
  };

  const isDifferenceKnown = (revision: number): boolean =>
    revision > 0 &&
    revision >= forgottenRevision &&
    !gaps.some(({ from, to }) => revision > from && revision < to);

  const liveEntries = (): ConfigurationEntry[] =>
    [...stored.values()]
      .map(({ entry }) => entry)
      .filter(({ valueJson }) => valueJson !== undefined);

  const publish = (changed: readonly ConfigurationEntry[]): void => {
    if (changed.length === 0) return;
    listeners.forEach((listener) => listener(changed));
  };

  return {
    revision: () => knownRevision,
    applyChanges: (revision, entries) => {
      const changed = entries.filter(storeChange);
      knownRevision = Math.max(knownRevision, revision);
      trimTombstones();
      publish(changed);
    },
    applySnapshot: (revision, entries) => {
      if (revision < knownRevision) return;
      const present = new Set(entries.map(({ key }) => key));
      const removed = [...stored.values()]
        .filter(({ entry }) => entry.valueJson !== undefined && !present.has(entry.key))
        .map(({ entry }) => ({ key: entry.key, valueJson: undefined, modRevision: revision }));
      const changed = [...entries, ...removed].filter(store);
      addGap(knownRevision, revision);
      knownRevision = revision;
      trimTombstones();
      publish(changed);
    },
    get: <Kind extends DocumentKind>(kind: Kind, name: string) =>
      documentsOf(kind).get(name) as DocumentOf<Kind> | undefined,
    revisionOf: (kind, name) => {
      const found = stored.get(documentKinds[kind].prefix + name);
      return found?.entry.valueJson === undefined ? undefined : found.entry.modRevision;
    },
    list: <Kind extends DocumentKind>(kind: Kind) =>
      documentsOf(kind) as Map<string, DocumentOf<Kind>>,
    entries: () => [...stored.values()].map(({ entry }) => entry),
    since: (revision) => {
      if (!isDifferenceKnown(revision)) return { isSnapshot: true, entries: liveEntries() };
      const entries = [...stored.values()]
        .map(({ entry }) => entry)
        .filter(({ modRevision }) => modRevision > revision);
      return { isSnapshot: false, entries };
    },
    onChange: (listener) => {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
  };
};

export default createConfigurationState;
