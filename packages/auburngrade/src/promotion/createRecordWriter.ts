import {
  documentKinds,
  type ConfigurationEntry,
  type ConfigurationState,
  type TermRecord,
} from '@auburngrade/coordination';
import type { Platform } from '@auburngrade/platform';
import sleepMs from '../groups/sleepMs';

type Written = { kind: 'written'; revision: number } | { kind: 'lost' };

const RETRY_DELAY_MS = 50;

/** Writes a group's term record; a lost answer is resolved by reading the record again. */
const createRecordWriter = (
  platform: Platform,
  configuration: ConfigurationState,
  group: string,
  timeoutMs: number,
) => {
  const key = documentKinds.term.prefix + group;

  const take = (entry: ConfigurationEntry): void => configuration.applyChanges(0, [entry]);

  const isSame = (entry: ConfigurationEntry | undefined, record: TermRecord): boolean => {
    if (entry?.valueJson === undefined) return false;
    const found = JSON.parse(entry.valueJson) as Partial<TermRecord>;
    return (
      found.term === record.term &&
      found.promoter === record.promoter &&
      found.state === record.state
    );
  };

  const settle = (entry: ConfigurationEntry | undefined, record: TermRecord): Written => {
    if (entry) take(entry);
    return entry && isSame(entry, record)
      ? { kind: 'written', revision: entry.modRevision }
      : { kind: 'lost' };
  };

  const read = async (): Promise<ConfigurationEntry | undefined> => {
    const { entries } = await platform.range(key, timeoutMs);
    return entries.find((entry) => entry.key === key);
  };

  /** Undefined while it is open whether the write took effect. */
  const attempt = async (
    record: TermRecord,
    expectedRevision: number,
  ): Promise<Written | undefined> => {
    const valueJson = JSON.stringify(record);
    const put = { key, valueJson, expectedRevision };
    const outcome = await platform.compareAndSwap([put], timeoutMs);
    if (outcome.kind === 'applied') {
      return settle({ key, valueJson, modRevision: outcome.revision }, record);
    }
    if (outcome.kind === 'conflict') return settle(outcome.current[0], record);
    const found = await read().catch(() => undefined);
    if (!found || found.modRevision === expectedRevision) return undefined;
    return settle(found, record);
  };

  return {
    /** Tries until the outcome is known or `isWanted` says no more. */
    write: async (
      record: TermRecord,
      expectedRevision: number,
      isWanted: () => boolean,
    ): Promise<Written> => {
      while (isWanted()) {
        const written = await attempt(record, expectedRevision);
        if (written) return written;
        await sleepMs(RETRY_DELAY_MS);
      }
      return { kind: 'lost' };
    },
  };
};

export default createRecordWriter;
