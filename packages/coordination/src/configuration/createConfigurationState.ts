import type ConfigurationEntry from './configurationEntry';
import type ConfigurationState from './configurationState';
import type DocumentKind from './documentKind';
import parseStoredDocument from './parseStoredDocument';
import documentKinds from './documentKinds';
import type DocumentOf from './documentOf';
import findDocumentKind from './findDocumentKind';
import eraOfPosition from '../history/eraOfPosition';
import copyString from './copyString';
import packJson from './packJson';
import unpackJson from './unpackJson';
import removeChangeIds from './removeChangeIds';

/** Number of deleted keys that are kept, so that a follower can receive the deletions. */
const DEFAULT_MAX_TOMBSTONES = 10_000;

/** Number of gaps kept; beyond it, the two oldest are merged into one. */
const MAX_GAPS = 8;

/** Revisions after `from` and before `to`, which a snapshot skipped. */
interface RevisionGap {
  from: number;
  to: number;
}

interface StoredDocument {
  /** JSON text, packed by `packJson` if the document is valid; undefined: deleted. */
  text: string | undefined;
  modRevision: number;
  isValid: boolean;
}

const unpackValueJson = ({ text, isValid }: StoredDocument): string | undefined =>
  isValid && text !== undefined ? unpackJson(text) : text;

const parseDocument = (kind: DocumentKind, valueJson: string): object | undefined => {
  try {
    const parsed = documentKinds[kind].schema.safeParse(parseStoredDocument(valueJson));
    return parsed.success ? parsed.data : undefined;
  } catch {
    return undefined;
  }
};

/**
 * Creates an empty configuration state. A value that fails its schema is treated as absent.
 * Repeated reads return the same document object while a caller holds it and it is unchanged.
 */
const createConfigurationState = (
  maxTombstones: number = DEFAULT_MAX_TOMBSTONES,
): ConfigurationState => {
  const storedByKind = new Map<DocumentKind, Map<string, StoredDocument>>();
  const listeners = new Set<(changed: readonly ConfigurationEntry[]) => void>();
  const tombstones = new Map<string, number>();
  /** Keys that the store lacked when its present era began: it has lost them, and deletes none by lacking them. */
  const lostKeys = new Set<string>();
  /** Parsed documents still in use; all others are held as text only, to save memory. */
  const parsedDocuments = new Map<StoredDocument, WeakRef<object>>();
  const parsedFinalizer = new FinalizationRegistry<StoredDocument>((stored) => {
    if (!parsedDocuments.get(stored)?.deref()) parsedDocuments.delete(stored);
  });
  let knownRevision = 0;
  /** End of what was known of the earlier eras when the present one began; later changes of them are accepted. */
  let earlierRevision = 0;
  /** Whether other VMs may know changes of the earlier eras that the store has lost and this VM never saw. */
  let isCatchUpDue = false;
  /** Era of the last list that came from the store itself. */
  let listedEra = 0;
  /** Revision of the latest deletion whose tombstone was dropped. */
  let latestDroppedRevision = 0;
  /** Revisions skipped by snapshots: a difference from within one might lack deletions. */
  let gaps: RevisionGap[] = [];

  const getStoredByName = (kind: DocumentKind): Map<string, StoredDocument> => {
    const existing = storedByKind.get(kind);
    if (existing) return existing;
    const created = new Map<string, StoredDocument>();
    storedByKind.set(kind, created);
    return created;
  };

  const extractName = (kind: DocumentKind, key: string): string =>
    key.slice(documentKinds[kind].prefix.length);

  const getDocument = (
    kind: DocumentKind,
    stored: StoredDocument | undefined,
  ): object | undefined => {
    if (!stored?.isValid) return undefined;
    const cachedDocument = parsedDocuments.get(stored)?.deref();
    if (cachedDocument) return cachedDocument;
    const document = parseDocument(kind, unpackValueJson(stored) ?? '');
    if (!document) return undefined;
    parsedDocuments.set(stored, new WeakRef(document));
    parsedFinalizer.register(document, stored);
    return document;
  };

  /** Stores an entry unless its key has the same or a later revision; returns what was stored. */
  const storeIfNewer = (entry: ConfigurationEntry): ConfigurationEntry[] => {
    const kind = findDocumentKind(entry.key);
    if (!kind) return [];
    const name = extractName(kind, entry.key);
    const current = getStoredByName(kind).get(name);
    if (current && current.modRevision >= entry.modRevision) return [];
    tombstones.delete(entry.key);
    lostKeys.delete(entry.key);
    if (entry.valueJson === undefined) tombstones.set(entry.key, entry.modRevision);
    const valueJson = entry.valueJson && removeChangeIds(entry.valueJson);
    const isValid = valueJson !== undefined && parseDocument(kind, valueJson) !== undefined;
    const text = isValid ? packJson(valueJson) : valueJson;
    getStoredByName(kind).set(copyString(name), { text, modRevision: entry.modRevision, isValid });
    return [{ ...entry, valueJson }];
  };

  const listEntries = (isIncluded: (stored: StoredDocument) => boolean): ConfigurationEntry[] =>
    [...storedByKind].flatMap(([kind, documents]) =>
      [...documents]
        .filter(([, stored]) => isIncluded(stored))
        .map(([name, stored]) => ({
          key: documentKinds[kind].prefix + name,
          valueJson: unpackValueJson(stored),
          modRevision: stored.modRevision,
        })),
    );

  const hasValue = ({ text }: StoredDocument): boolean => text !== undefined;

  const listStoredKeys = (): string[] =>
    [...storedByKind].flatMap(([kind, documents]) =>
      [...documents]
        .filter(([, stored]) => hasValue(stored))
        .map(([name]) => documentKinds[kind].prefix + name),
    );

  /** Whether the change may be missing although its revision is known: the store lost it in a restore. */
  const isOfEarlierEra = ({ modRevision }: ConfigurationEntry): boolean =>
    eraOfPosition(modRevision) < eraOfPosition(knownRevision) && modRevision > earlierRevision;

  /** Ignores changes up to the known revision of their era: they are duplicates or superseded. */
  const storeChange = (entry: ConfigurationEntry): ConfigurationEntry[] =>
    entry.modRevision > knownRevision || isOfEarlierEra(entry) ? storeIfNewer(entry) : [];

  /**
   * Whether the entry is known to be deleted: the known revision, of the same era, is after the
   * entry's, and the key was absent there. Lists name no deletions, so there may be no tombstone.
   */
  const isKnownAsDeleted = ({ key, modRevision }: ConfigurationEntry): boolean => {
    const kind = findDocumentKind(key);
    if (!kind || getStoredByName(kind).has(extractName(kind, key))) return false;
    const isOfKnownEra = eraOfPosition(modRevision) === eraOfPosition(knownRevision);
    return isOfKnownEra && modRevision <= knownRevision;
  };

  /** Whether this VM knew an earlier era, and learned of the present one from another VM, not by a list. */
  const hasChangedEraSinceList = (revision: number): boolean =>
    earlierRevision > 0 && listedEra > 0 && eraOfPosition(revision) > listedEra;

  const toDeletion = (entry: ConfigurationEntry): ConfigurationEntry => ({
    key: entry.key,
    valueJson: undefined,
    modRevision: knownRevision,
  });

  const advanceTo = (revision: number): void => {
    const isNewEra = eraOfPosition(revision) > eraOfPosition(knownRevision);
    if (isNewEra && !isCatchUpDue) earlierRevision = knownRevision;
    knownRevision = Math.max(knownRevision, revision);
  };

  /** Drops the oldest tombstones above the limit, if their revision is not after the known one. */
  const trimTombstones = (): void => {
    for (const [key, modRevision] of tombstones) {
      if (tombstones.size <= maxTombstones) return;
      if (modRevision <= knownRevision) {
        tombstones.delete(key);
        const kind = findDocumentKind(key);
        if (kind) getStoredByName(kind).delete(extractName(kind, key));
        latestDroppedRevision = Math.max(latestDroppedRevision, modRevision);
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
    revision >= latestDroppedRevision &&
    !gaps.some(({ from, to }) => revision > from && revision < to);

  const notifyListeners = (changed: readonly ConfigurationEntry[]): void => {
    if (changed.length === 0) return;
    listeners.forEach((listener) => listener(changed));
  };

  return {
    revision: () => knownRevision,
    applyChanges: (revision, entries) => {
      const changed = entries.flatMap(storeChange);
      advanceTo(revision);
      trimTombstones();
      notifyListeners(changed);
    },
    applySnapshot: (revision, entries, isFromStore = true) => {
      if (revision < knownRevision) return;
      const present = new Set(entries.map(({ key }) => key));
      const missingKeys = listStoredKeys().filter((key) => !present.has(key));
      const isNewEra = eraOfPosition(revision) > eraOfPosition(knownRevision);
      if (isNewEra || (isFromStore && hasChangedEraSinceList(revision)))
        missingKeys.forEach((key) => lostKeys.add(key));
      if (isFromStore) listedEra = eraOfPosition(revision);
      const removed = missingKeys
        .filter((key) => !lostKeys.has(key))
        .map((key) => ({ key, valueJson: undefined, modRevision: revision }));
      const listed = isNewEra
        ? entries.map((entry) => (isKnownAsDeleted(entry) ? toDeletion(entry) : entry))
        : entries;
      const changed = [...listed, ...removed].flatMap(storeIfNewer);
      addGap(knownRevision, revision);
      advanceTo(revision);
      if (isNewEra && earlierRevision > 0) isCatchUpDue = true;
      trimTombstones();
      notifyListeners(changed);
    },
    catchUpRevision: () => (isCatchUpDue ? earlierRevision : undefined),
    completeCatchUp: () => {
      isCatchUpDue = false;
    },
    get: <Kind extends DocumentKind>(kind: Kind, name: string) =>
      getDocument(kind, getStoredByName(kind).get(name)) as DocumentOf<Kind> | undefined,
    getDocumentRevision: (kind, name) => {
      const found = getStoredByName(kind).get(name);
      return found?.text === undefined ? undefined : found.modRevision;
    },
    listNames: (kind) =>
      [...getStoredByName(kind)].filter(([, { isValid }]) => isValid).map(([name]) => name),
    list: <Kind extends DocumentKind>(kind: Kind) => {
      const valid = [...getStoredByName(kind)].filter(([, { isValid }]) => isValid);
      return new Map(
        valid.map(([name, stored]) => [name, getDocument(kind, stored) as DocumentOf<Kind>]),
      );
    },
    entries: () => listEntries(() => true),
    getDifferenceSince: (revision) =>
      isDifferenceKnown(revision)
        ? {
            isSnapshot: false,
            entries: listEntries(({ modRevision }) => modRevision > revision),
          }
        : { isSnapshot: true, entries: listEntries(hasValue) },
    onChange: (listener) => {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
  };
};

export default createConfigurationState;
