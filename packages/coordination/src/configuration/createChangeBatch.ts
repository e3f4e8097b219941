import type ConfigurationEntry from './configurationEntry';
import documentKinds from './documentKinds';
import findDocumentKind from './findDocumentKind';

/** Number of changed keys held for one follower; beyond it, the follower receives a difference. */
const DEFAULT_MAX_KEYS = 10_000;

const isUrgent = ({ key }: ConfigurationEntry): boolean => {
  const kind = findDocumentKind(key);
  return kind !== undefined && documentKinds[kind].urgent;
};

/**
 * Creates a batch that collects changes for one follower until they are sent. Only the last
 * change of each key is kept.
 */
const createChangeBatch = (maxKeys: number = DEFAULT_MAX_KEYS) => {
  let pendingByKey = new Map<string, ConfigurationEntry>();
  let isOverflowed = false;

  return {
    /** Adds changes; returns whether one is urgent, so that the batch has to be sent at once. */
    add: (changed: readonly ConfigurationEntry[]): boolean => {
      if (!isOverflowed) changed.forEach((entry) => pendingByKey.set(entry.key, entry));
      if (pendingByKey.size > maxKeys) {
        isOverflowed = true;
        pendingByKey = new Map();
      }
      return changed.some(isUrgent);
    },
    /** Returns and removes the collected changes; undefined if the limit was exceeded. */
    take: (): ConfigurationEntry[] | undefined => {
      const takenEntries = isOverflowed ? undefined : [...pendingByKey.values()];
      pendingByKey = new Map();
      isOverflowed = false;
      return takenEntries;
    },
  };
};

export default createChangeBatch;
