import { randomUUID } from 'node:crypto';
import {
  changeIdsOf,
  documentIn,
  documentKinds,
  notRun,
  toStoredValue,
  type ConfigurationEntry,
  type DocumentKind,
} from '@auburngrade/coordination';
import type { Change } from '@auburngrade/operator';
import type { Platform } from '@auburngrade/platform';
import createRefusedChange from './createRefusedChange';

interface DocumentChange {
  kind: DocumentKind;
  name: string;
  /** Undefined deletes the document. */
  document: unknown;
  /** Revision that the document must still have; 0: absent; -1: whatever it has now. */
  expectedRevision: number;
  /** Identifies the change when its answer was lost; empty: a new one. */
  changeId: string;
}

interface DocumentWriterOptions {
  platform: Platform;
  /** Time limit of one call to the platform. */
  timeoutMs: number;
  nowMs(): number;
}

const ANY_REVISION = -1;
/** How long a change is retried while its outcome is unknown. */
const RESOLVE_TIMEOUT_MS = 4_000;
const RETRY_DELAY_MS = 100;

const createAppliedChange = (revision: number): Change => ({
  verdict: 'ran',
  revision,
  refusalCode: '',
  message: '',
});

const createConflictChange = (current: ConfigurationEntry | undefined): Change => {
  if (current?.valueJson === undefined)
    return createRefusedChange('conflict', 'the document is absent');
  const document = JSON.stringify(documentIn(current.valueJson));
  const message = `the document is at revision ${current.modRevision}: ${document}`;
  return { ...createRefusedChange('conflict', message), revision: current.modRevision };
};

/** Writes operators' documents to the platform; a lost answer is resolved by the change's id. */
const createDocumentWriter = ({ platform, timeoutMs, nowMs }: DocumentWriterOptions) => {
  /** @throws RefusalError `platformUnavailable` */
  const readEntry = async (kind: DocumentKind, name: string) => {
    const key = documentKinds[kind].prefix + name;
    const { entries } = await platform.range(key, timeoutMs);
    return entries.find((entry) => entry.key === key);
  };

  /**
   * Repeats the same conditional write until its outcome is known. A conflict after a lost
   * answer tells: the stored value carries the change's id, or the write can apply no more.
   */
  const swapUntilResolved = async (
    put: { key: string; valueJson: string | undefined; expectedRevision: number },
    changeId: string,
  ): Promise<Change> => {
    const deadlineAtMs = nowMs() + RESOLVE_TIMEOUT_MS;
    let isOutcomeUnknown = false;
    for (;;) {
      const outcome = await platform.compareAndSwap([put], timeoutMs);
      if (outcome.kind === 'applied') return createAppliedChange(outcome.revision);
      if (outcome.kind === 'conflict') {
        const [current] = outcome.current;
        const isOwnChange = changeIdsOf(current?.valueJson).includes(changeId);
        const isDeleted = isOutcomeUnknown && put.valueJson === undefined && !current;
        if (isOwnChange || isDeleted)
          return createAppliedChange(current?.modRevision ?? outcome.revision);
        return createConflictChange(current);
      }
      if (outcome.kind === 'unavailable' && !isOutcomeUnknown) {
        return createRefusedChange('platformUnavailable', outcome.message);
      }
      isOutcomeUnknown = true;
      if (nowMs() + RETRY_DELAY_MS > deadlineAtMs) {
        return {
          ...createRefusedChange('platformUnavailable', outcome.message),
          verdict: 'mayHaveRun',
        };
      }
      await new Promise((resolve) => {
        setTimeout(resolve, RETRY_DELAY_MS);
      });
    }
  };

  return {
    read: readEntry,
    /** @throws RefusalError `platformUnavailable` when nothing was written. */
    write: async (change: DocumentChange): Promise<Change> => {
      const { kind, name, document, expectedRevision } = change;
      const changeId = change.changeId || randomUUID();
      const key = documentKinds[kind].prefix + name;
      const current = await readEntry(kind, name);
      const currentRevision = current?.modRevision ?? 0;
      if (changeIdsOf(current?.valueJson).includes(changeId))
        return createAppliedChange(currentRevision);
      if (expectedRevision !== ANY_REVISION && expectedRevision !== currentRevision) {
        return createConflictChange(current);
      }
      if (document === undefined && !current) return createConflictChange(undefined);
      const valueJson =
        document === undefined ? undefined : toStoredValue(document, changeId, current?.valueJson);
      return swapUntilResolved({ key, valueJson, expectedRevision: currentRevision }, changeId);
    },
    /** The only key whose hash starts with the id. @throws RefusalError */
    findKey: async (
      keyId: string,
    ): Promise<{ hash: string; document: unknown; revision: number }> => {
      const { prefix } = documentKinds.key;
      const { entries } = await platform.range(prefix + keyId, timeoutMs);
      const [entry, duplicate] = entries;
      if (!entry?.valueJson || duplicate) throw notRun('badRequest', `no one key ${keyId}`);
      return {
        hash: entry.key.slice(prefix.length),
        document: documentIn(entry.valueJson),
        revision: entry.modRevision,
      };
    },
  };
};

export default createDocumentWriter;
