import {
  documentKinds,
  type ConfigurationEntry,
  type ConfigurationState,
  type TermRecord,
} from '@auburngrade/coordination';
import type { Platform } from '@auburngrade/platform';
import sleep from '../time/sleep';

type Written = { kind: 'written'; revision: number } | { kind: 'lost' };

const FIRST_RETRY_DELAY_MS = 50;
const MAX_RETRY_DELAY_MS = 500;

const isSameRecord = (found: Partial<TermRecord>, record: TermRecord): boolean =>
  found.term === record.term && found.promoter === record.promoter && found.state === record.state;

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
    return isSameRecord(JSON.parse(entry.valueJson) as Partial<TermRecord>, record);
  };

  /** Whether the platform's watch has shown the record already. */
  const isSeen = (record: TermRecord): boolean => {
    const known = configuration.get('term', group);
    return known !== undefined && isSameRecord(known, record);
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
    if (isSeen(record)) {
      return { kind: 'written', revision: configuration.revisionOf('term', group) ?? 0 };
    }
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
      let delayMs = FIRST_RETRY_DELAY_MS;
      while (isWanted()) {
        const written = await attempt(record, expectedRevision);
        if (written) return written;
        await sleep(delayMs);
        delayMs = Math.min(MAX_RETRY_DELAY_MS, delayMs * 2);
      }
      return { kind: 'lost' };
    },
  };
};

export default createRecordWriter;
