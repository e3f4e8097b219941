import type ConfigurationEntry from './configurationEntry';
import type ConfigurationState from './configurationState';
import type DocumentKind from './documentKind';
import documentKinds from './documentKinds';
import type DocumentOf from './documentOf';

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
    const parsed = documentKinds[kind].schema.safeParse(JSON.parse(valueJson));
    return parsed.success ? parsed.data : undefined;
  } catch {
    return undefined;
  }
};

/** Creates an empty configuration state; a value that fails its schema counts as absent. */
const createConfigurationState = (): ConfigurationState => {
  const stored = new Map<string, Stored>();
  const byKind = new Map<DocumentKind, Map<string, unknown>>();
  const listeners = new Set<(changed: readonly ConfigurationEntry[]) => void>();
  let knownRevision = 0;
  let snapshotRevision = 0;

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
    const name = entry.key.slice(documentKinds[kind].prefix.length);
    const document =
      entry.valueJson === undefined ? undefined : parseDocument(kind, entry.valueJson);
    stored.set(entry.key, { entry, kind, document });
    if (document === undefined) documentsOf(kind).delete(name);
    else documentsOf(kind).set(name, document);
    return true;
  };

  const publish = (changed: readonly ConfigurationEntry[]): void => {
    if (changed.length === 0) return;
    listeners.forEach((listener) => listener(changed));
  };

  return {
    revision: () => knownRevision,
    applyChanges: (revision, entries) => {
      // A snapshot is complete: an older change of a key that it lacks is of a deleted key.
      const changed = entries
        .filter(({ modRevision }) => modRevision > snapshotRevision)
        .filter(store);
      knownRevision = Math.max(knownRevision, revision);
      publish(changed);
    },
    applySnapshot: (revision, entries) => {
      if (revision < knownRevision) return;
      const present = new Set(entries.map(({ key }) => key));
      const removed = [...stored.values()]
        .filter(({ entry }) => entry.valueJson !== undefined && !present.has(entry.key))
        .map(({ entry }) => ({ key: entry.key, valueJson: undefined, modRevision: revision }));
      const changed = [...entries, ...removed].filter(store);
      knownRevision = revision;
      snapshotRevision = revision;
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
    onChange: (listener) => {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
  };
};

export default createConfigurationState;
