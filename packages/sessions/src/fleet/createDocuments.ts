import type EventLog from '../seams/eventLog';
import type KnownDocument from './knownDocument';

/**
 * Keeps the newest known revision of each replicated document in memory, by key. Documents arrive from
 * the metadata store and from other VMs in any order; an older revision never replaces a newer one.
 */
const createDocuments = (nowMs: () => number, log: EventLog) => {
  const documents = new Map<string, KnownDocument & { knownSinceMs: number }>();
  const listeners: ((document: KnownDocument) => void)[] = [];

  return {
    /** Stores the document unless its revision or a newer one is known; returns whether it was stored. */
    putIfNewer: (document: KnownDocument): boolean => {
      const cached = documents.get(document.key);
      if (cached && cached.revision >= document.revision) {
        const { key, revision, value } = document;
        if (value !== cached.value)
          log.info('document.ignored', { key, revision, knownRevision: cached.revision });
        return false;
      }
      documents.set(document.key, { ...document, knownSinceMs: nowMs() });
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
