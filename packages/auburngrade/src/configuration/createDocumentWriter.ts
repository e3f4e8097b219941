import { randomUUID } from 'node:crypto';
import {
  parseChangeIds,
  parseStoredDocument,
  documentKinds,
  createNotRunError,
  buildStoredValue,
  type ConfigurationEntry,
  type DocumentKind,
} from '@auburngrade/coordination';
import type { Change } from '@auburngrade/operator';
import type { ConfigurationStore } from '@auburngrade/platform';
import createRefusedChange from './createRefusedChange';

interface DocumentChange {
  kind: DocumentKind;
  name: string;
  /** Undefined deletes the document. */
  document: unknown;
  /** Revision that the document must have; 0: it must be absent; -1: any. */
  expectedRevision: number;
  /** Identifies the change in a retry after a lost reply; empty: an id is generated. */
  changeId: string;
}

interface DocumentWriterOptions {
  platform: ConfigurationStore;
  /** Time limit of one call to the platform. */
  timeoutMs: number;
  nowMs(): number;
}

const ANY_REVISION = -1;
/** Period for which a write with unknown outcome is retried. */
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
    return createRefusedChange('conflict', 'the document does not exist');
  const document = JSON.stringify(parseStoredDocument(current.valueJson));
  const message = `the document is at revision ${current.modRevision}: ${document}`;
  return { ...createRefusedChange('conflict', message), revision: current.modRevision };
};

/** Writes operators' documents to the platform; after a lost reply the change id gives the outcome. */
const createDocumentWriter = ({ platform, timeoutMs, nowMs }: DocumentWriterOptions) => {
  /** @throws RefusalError `platformUnavailable` */
  const readEntry = async (kind: DocumentKind, name: string) => {
    const key = documentKinds[kind].prefix + name;
    const { entries } = await platform.range(key, timeoutMs);
    return entries.find((entry) => entry.key === key);
  };

  /**
   * Retries the same conditional write until its outcome is known. A conflict after a lost
   * reply decides it: either the stored value has the change id, or the write can no longer apply.
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
        const isOwnChange = parseChangeIds(current?.valueJson).includes(changeId);
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
    /** @throws RefusalError `platformUnavailable` if the current document cannot be read. */
    write: async (change: DocumentChange): Promise<Change> => {
      const { kind, name, document, expectedRevision } = change;
      const changeId = change.changeId || randomUUID();
      const key = documentKinds[kind].prefix + name;
      const current = await readEntry(kind, name);
      const currentRevision = current?.modRevision ?? 0;
      if (parseChangeIds(current?.valueJson).includes(changeId))
        return createAppliedChange(currentRevision);
      if (expectedRevision !== ANY_REVISION && expectedRevision !== currentRevision) {
        return createConflictChange(current);
      }
      if (document === undefined && !current) return createConflictChange(undefined);
      const valueJson =
        document === undefined
          ? undefined
          : buildStoredValue(document, changeId, current?.valueJson);
      return swapUntilResolved({ key, valueJson, expectedRevision: currentRevision }, changeId);
    },
    /** Finds the only key whose hash starts with the id. @throws RefusalError `badRequest` or `platformUnavailable` */
    findKey: async (
      keyId: string,
    ): Promise<{ hash: string; document: unknown; revision: number }> => {
      const { prefix } = documentKinds.key;
      const { entries } = await platform.range(prefix + keyId, timeoutMs);
      const [entry, duplicate] = entries;
      if (!entry?.valueJson || duplicate)
        throw createNotRunError('badRequest', `key id ${keyId} does not match exactly one key`);
      return {
        hash: entry.key.slice(prefix.length),
        document: parseStoredDocument(entry.valueJson),
        revision: entry.modRevision,
      };
    },
  };
};

export default createDocumentWriter;
