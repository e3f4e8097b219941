import type ConfigurationEntry from './configurationEntry';
import type ConfigurationState from './configurationState';
import type DocumentKind from './documentKind';
import documentIn from './documentIn';
import documentKinds from './documentKinds';
import type DocumentOf from './documentOf';
import kindOfKey from './kindOfKey';
import ownCopy from './ownCopy';
import packJson from './packJson';
import unpackJson from './unpackJson';
import withoutChangeIds from './withoutChangeIds';

/** How many deletions are remembered by key. */
const DEFAULT_MAX_TOMBSTONES = 10_000;

/** How many gaps are told apart. */
const MAX_GAPS = 8;

interface Gap {
  from: number;
  to: number;
}

interface Stored {
  /** The value, packed if it is valid; undefined: deleted. */
  text: string | undefined;
  modRevision: number;
  isValid: boolean;
}

const valueJsonOf = ({ text, isValid }: Stored): string | undefined =>
  isValid && text !== undefined ? unpackJson(text) : text;

const parseDocument = (kind: DocumentKind, valueJson: string): object | undefined => {
  try {
    const parsed = documentKinds[kind].schema.safeParse(documentIn(valueJson));
    return parsed.success ? parsed.data : undefined;
  } catch {
    return undefined;
  }
};

/**
 * Creates an empty configuration state; a value that fails its schema counts as absent.
 * A document is the same object each time that it is read, until it changes.
 */
const createConfigurationState = (
  maxTombstones: number = DEFAULT_MAX_TOMBSTONES,
): ConfigurationState => {
  const byKind = new Map<DocumentKind, Map<string, Stored>>();
  const listeners = new Set<(changed: readonly ConfigurationEntry[]) => void>();
  const tombstones = new Map<string, number>();
  /** Parsed documents while anyone uses them: most documents are kept as text only. */
  const parsed = new Map<Stored, WeakRef<object>>();
  const unused = new FinalizationRegistry<Stored>((stored) => {
    if (!parsed.get(stored)?.deref()) parsed.delete(stored);
  });
  let knownRevision = 0;
  /** The latest deletion whose tombstone was dropped. */
  let forgottenRevision = 0;
  /** Spans of revisions passed over by a snapshot, whose own deletions are not known. */
  let gaps: Gap[] = [];

  const storedOf = (kind: DocumentKind): Map<string, Stored> => {
    const existing = byKind.get(kind);
    if (existing) return existing;
    const created = new Map<string, Stored>();
    byKind.set(kind, created);
    return created;
  };

  const nameIn = (kind: DocumentKind, key: string): string =>
    key.slice(documentKinds[kind].prefix.length);

  const documentOf = (kind: DocumentKind, stored: Stored | undefined): object | undefined => {
    if (!stored?.isValid) return undefined;
    const known = parsed.get(stored)?.deref();
    if (known) return known;
    const document = parseDocument(kind, valueJsonOf(stored) ?? '');
    if (!document) return undefined;
    parsed.set(stored, new WeakRef(document));
    unused.register(document, stored);
    return document;
  };

  /** Stores an entry unless a newer one is known; gives what was stored. */
  const store = (entry: ConfigurationEntry): ConfigurationEntry[] => {
    const kind = kindOfKey(entry.key);
    if (!kind) return [];
    const name = nameIn(kind, entry.key);
    const current = storedOf(kind).get(name);
    if (current && current.modRevision >= entry.modRevision) return [];
    tombstones.delete(entry.key);
    if (entry.valueJson === undefined) tombstones.set(entry.key, entry.modRevision);
    const valueJson = entry.valueJson && withoutChangeIds(entry.valueJson);
    const isValid = valueJson !== undefined && parseDocument(kind, valueJson) !== undefined;
    const text = isValid ? packJson(valueJson) : valueJson;
    storedOf(kind).set(ownCopy(name), { text, modRevision: entry.modRevision, isValid });
    return [{ ...entry, valueJson }];
  };

  const entriesOf = (isWanted: (stored: Stored) => boolean): ConfigurationEntry[] =>
    [...byKind].flatMap(([kind, documents]) =>
      [...documents]
        .filter(([, stored]) => isWanted(stored))
        .map(([name, stored]) => ({
          key: documentKinds[kind].prefix + name,
          valueJson: valueJsonOf(stored),
          modRevision: stored.modRevision,
        })),
    );

  const isLive = ({ text }: Stored): boolean => text !== undefined;

  const liveKeys = (): string[] =>
    [...byKind].flatMap(([kind, documents]) =>
      [...documents]
        .filter(([, stored]) => isLive(stored))
        .map(([name]) => documentKinds[kind].prefix + name),
    );

  /** A change that the known revision covers is a duplicate or was overtaken. */
  const storeChange = (entry: ConfigurationEntry): ConfigurationEntry[] =>
    entry.modRevision > knownRevision ? store(entry) : [];

  /** Forgets the oldest deletions among those that the known revision covers. */
  const trimTombstones = (): void => {
    for (const [key, modRevision] of tombstones) {
      if (tombstones.size <= maxTombstones) return;
      if (modRevision <= knownRevision) {
        tombstones.delete(key);
        const kind = kindOfKey(key);
        if (kind) storedOf(kind).delete(nameIn(kind, key));
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

  const publish = (changed: readonly ConfigurationEntry[]): void => {
    if (changed.length === 0) return;
    listeners.forEach((listener) => listener(changed));
  };

  return {
    revision: () => knownRevision,
    applyChanges: (revision, entries) => {
      const changed = entries.flatMap(storeChange);
      knownRevision = Math.max(knownRevision, revision);
      trimTombstones();
      publish(changed);
    },
    applySnapshot: (revision, entries) => {
      if (revision < knownRevision) return;
      const present = new Set(entries.map(({ key }) => key));
      const removed = liveKeys()
        .filter((key) => !present.has(key))
        .map((key) => ({ key, valueJson: undefined, modRevision: revision }));
      const changed = [...entries, ...removed].flatMap(store);
      addGap(knownRevision, revision);
      knownRevision = revision;
      trimTombstones();
      publish(changed);
    },
    get: <Kind extends DocumentKind>(kind: Kind, name: string) =>
      documentOf(kind, storedOf(kind).get(name)) as DocumentOf<Kind> | undefined,
    revisionOf: (kind, name) => {
      const found = storedOf(kind).get(name);
      return found?.text === undefined ? undefined : found.modRevision;
    },
    names: (kind) => [...storedOf(kind)].filter(([, { isValid }]) => isValid).map(([name]) => name),
    list: <Kind extends DocumentKind>(kind: Kind) => {
      const valid = [...storedOf(kind)].filter(([, { isValid }]) => isValid);
      return new Map(
        valid.map(([name, stored]) => [name, documentOf(kind, stored) as DocumentOf<Kind>]),
      );
    },
    entries: () => entriesOf(() => true),
    since: (revision) =>
      isDifferenceKnown(revision)
        ? {
            isSnapshot: false,
            entries: entriesOf(({ modRevision }) => modRevision > revision),
          }
        : { isSnapshot: true, entries: entriesOf(isLive) },
    onChange: (listener) => {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
  };
};

export default createConfigurationState;
