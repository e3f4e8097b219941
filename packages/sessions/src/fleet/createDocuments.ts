import type KnownDocument from './knownDocument';

/**
 * The documents that this VM knows, by key. A document comes from the store or from other VMs, and
 * an older revision never replaces a newer one.
 */
const createDocuments = (nowMs: () => number) => {
  const documents = new Map<string, KnownDocument & { knownSinceMs: number }>();
  const listeners: ((document: KnownDocument) => void)[] = [];

  return {
    offer: (document: KnownDocument): boolean => {
      const known = documents.get(document.key);
      if (known && known.revision >= document.revision) return false;
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
