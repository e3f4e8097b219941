import {
  documentKinds,
  type ConfigurationEntry,
  type ConfigurationState,
  type TermRecord,
} from '@auburngrade/coordination';
import type { ConfigurationStore } from '@auburngrade/platform';
import sleep from '../time/sleep';

type WriteOutcome = { kind: 'written'; revision: number } | { kind: 'lost' };

const FIRST_RETRY_DELAY_MS = 50;
const MAX_RETRY_DELAY_MS = 500;

const isSameRecord = (found: Partial<TermRecord>, record: TermRecord): boolean =>
  found.term === record.term && found.promoter === record.promoter && found.state === record.state;

/** Writes a group's term record by compare-and-swap; re-reads it when the reply is lost. */
const createTermRecordWriter = (
  platform: ConfigurationStore,
  configuration: ConfigurationState,
  group: string,
  timeoutMs: number,
) => {
  const key = documentKinds.term.prefix + group;

  const applyEntry = (entry: ConfigurationEntry): void => configuration.applyChanges(0, [entry]);

  const holdsRecord = (entry: ConfigurationEntry | undefined, record: TermRecord): boolean => {
    if (entry?.valueJson === undefined) return false;
    return isSameRecord(JSON.parse(entry.valueJson) as Partial<TermRecord>, record);
  };

  /** Whether the configuration watch has already delivered the record. */
  const isAlreadyObserved = (record: TermRecord): boolean => {
    const known = configuration.get('term', group);
    return known !== undefined && isSameRecord(known, record);
  };

  const toWriteOutcome = (
    entry: ConfigurationEntry | undefined,
    record: TermRecord,
  ): WriteOutcome => {
    if (entry) applyEntry(entry);
    return entry && holdsRecord(entry, record)
      ? { kind: 'written', revision: entry.modRevision }
      : { kind: 'lost' };
  };

  const readEntry = async (): Promise<ConfigurationEntry | undefined> => {
    const { entries } = await platform.range(key, timeoutMs);
    return entries.find((entry) => entry.key === key);
  };

  /** Returns undefined while it is unknown whether the write took effect. */
  const tryWrite = async (
    record: TermRecord,
    expectedRevision: number,
  ): Promise<WriteOutcome | undefined> => {
    const valueJson = JSON.stringify(record);
    const put = { key, valueJson, expectedRevision };
    const outcome = await platform.compareAndSwap([put], timeoutMs);
    if (outcome.kind === 'applied') {
      return toWriteOutcome({ key, valueJson, modRevision: outcome.revision }, record);
    }
    if (outcome.kind === 'conflict') return toWriteOutcome(outcome.current[0], record);
    if (isAlreadyObserved(record)) {
      return { kind: 'written', revision: configuration.getDocumentRevision('term', group) ?? 0 };
    }
    const found = await readEntry().catch(() => undefined);
    if (!found || found.modRevision === expectedRevision) return undefined;
    return toWriteOutcome(found, record);
  };

  return {
    /** Retries until the outcome is known; `lost` once `isStillWanted` returns false. */
    write: async (
      record: TermRecord,
      expectedRevision: number,
      isStillWanted: () => boolean,
    ): Promise<WriteOutcome> => {
      let delayMs = FIRST_RETRY_DELAY_MS;
      while (isStillWanted()) {
        const outcome = await tryWrite(record, expectedRevision);
        if (outcome) return outcome;
        await sleep(delayMs);
        delayMs = Math.min(MAX_RETRY_DELAY_MS, delayMs * 2);
      }
      return { kind: 'lost' };
    },
  };
};

export default createTermRecordWriter;
