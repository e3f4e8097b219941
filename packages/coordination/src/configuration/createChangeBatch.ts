import type ConfigurationEntry from './configurationEntry';
import documentKinds from './documentKinds';
import kindOfKey from './kindOfKey';

/** Keys whose changes wait for one follower; with more, it gets a difference instead. */
const DEFAULT_MAX_KEYS = 10_000;

const isUrgent = ({ key }: ConfigurationEntry): boolean => {
  const kind = kindOfKey(key);
  return kind !== undefined && documentKinds[kind].urgent;
};

/**
 * Gathers changes for one follower between two sendings; of several changes of a key the
 * last one counts.
 */
const createChangeBatch = (maxKeys: number = DEFAULT_MAX_KEYS) => {
  let waiting = new Map<string, ConfigurationEntry>();
  let isFull = false;

  return {
    /** Adds changes; whether they have to be sent at once. */
    add: (changed: readonly ConfigurationEntry[]): boolean => {
      if (!isFull) changed.forEach((entry) => waiting.set(entry.key, entry));
      if (waiting.size > maxKeys) {
        isFull = true;
        waiting = new Map();
      }
      return changed.some(isUrgent);
    },
    /** Takes out what waits; undefined when it was too much to keep. */
    take: (): ConfigurationEntry[] | undefined => {
      const taken = isFull ? undefined : [...waiting.values()];
      waiting = new Map();
      isFull = false;
      return taken;
    },
  };
};

export default createChangeBatch;
