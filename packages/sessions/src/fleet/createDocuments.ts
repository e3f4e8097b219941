import { compareDocumentPositions } from '@auburngrade/coordination';
import type EventLog from '../seams/eventLog';
import type StoredItem from '../seams/storedItem';
import type KnownDocument from './knownDocument';

interface DocumentsOptions {
  nowMs(): number;
  log: EventLog;
  /** Reads from a document's text its own version, and the era it was written in; each may be absent. */
  readOrigin(key: string, value: string): { version?: number; era?: number };
}

/**
 * Keeps the newest known state of each replicated document in memory, by key. Documents arrive from the
 * metadata store and from other VMs in any order; an older state never replaces a newer one.
 */
const createDocuments = ({ nowMs, log, readOrigin }: DocumentsOptions) => {
  const documents = new Map<string, KnownDocument & { knownSinceMs: number }>();
  const listeners: ((document: KnownDocument) => void)[] = [];

  return {
    /** Stores the document unless this state or a newer one is known; returns whether it was stored. */
    putIfNewer: ({ key, value, revision, era: readInEra }: StoredItem): boolean => {
      const known = documents.get(key);
      // A VM of an earlier build states no era with a document.
      const { version = 0, era = readInEra || (known?.era ?? 0) } = readOrigin(key, value);
      const document = { key, value, version, era, revision };
      if (known && compareDocumentPositions(document, known) <= 0) {
        if (value !== known.value) {
          const { version: knownVersion, era: knownEra, revision: knownRevision } = known;
          const position = { version, era, revision, knownVersion, knownEra, knownRevision };
          log.info('document.ignored', { key, ...position });
        }
        return false;
      }
      documents.set(key, { ...document, knownSinceMs: nowMs() });
      listeners.forEach((listener) => listener(document));
      return true;
    },
    get: (key: string) => documents.get(key),
    all: () => [...documents.values()],
    onChange: (listener: (document: KnownDocument) => void): void => {
      listeners.push(listener);
    },
  };
};

export default createDocuments;
