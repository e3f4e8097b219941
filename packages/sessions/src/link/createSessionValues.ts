import { LRUCache } from 'lru-cache';
import countValuesBytes from '../limits/countValuesBytes';

type Values = ReadonlyMap<string, string>;

/** What V8 takes for a session's map and its place among the others. */
const SESSION_BYTES = 300;

/**
 * Keeps the values of sessions of other VMs, the most recently used ones within `maxBytes`. Those that it let go of are
 * sent again by the VM with the session.
 */
const createSessionValues = (maxBytes: number) => {
  let lastStreamNumber = 0;
  const kept = new LRUCache<string, { version: number; values: Values }>({
    maxSize: Math.max(1, maxBytes),
    sizeCalculation: ({ values }) => SESSION_BYTES + countValuesBytes(values),
  });

  return {
    heldBytes: (): number => kept.calculatedSize,
    /** Values of the sessions of one stream. */
    openStream: () => {
      lastStreamNumber += 1;
      const prefix = `${lastStreamNumber}/`;
      return {
        /** The values must not change any more. */
        set: (session: number, version: number, values: Values): void => {
          kept.set(`${prefix}${session}`, { version, values });
        },
        /** Returns undefined if this version of the values is not kept. */
        get: (session: number, version: number): Values | undefined => {
          const found = kept.get(`${prefix}${session}`);
          return found?.version === version ? found.values : undefined;
        },
        delete: (session: number): void => {
          kept.delete(`${prefix}${session}`);
        },
        close: (): void => {
          [...kept.keys()]
            .filter((key) => key.startsWith(prefix))
            .forEach((key) => kept.delete(key));
        },
      };
    },
  };
};

export default createSessionValues;
