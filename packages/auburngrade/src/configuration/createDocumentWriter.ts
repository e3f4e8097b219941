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
import refusedChange from './refusedChange';

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

const ran = (revision: number): Change => ({
  verdict: 'ran',
  revision,
  refusalCode: '',
  message: '',
});

const conflict = (current: ConfigurationEntry | undefined): Change => {
  if (current?.valueJson === undefined) return refusedChange('conflict', 'the document is absent');
  const document = JSON.stringify(documentIn(current.valueJson));
  const message = `the document is at revision ${current.modRevision}: ${document}`;
  return { ...refusedChange('conflict', message), revision: current.modRevision };
};

/** Writes operators' documents to the platform; a lost answer is resolved by the change's id. */
const createDocumentWriter = ({ platform, timeoutMs, nowMs }: DocumentWriterOptions) => {
  /** @throws RefusalError `platformUnavailable` */
  const read = async (kind: DocumentKind, name: string) => {
    const key = documentKinds[kind].prefix + name;
    const { entries } = await platform.range(key, timeoutMs);
    return entries.find((entry) => entry.key === key);
  };

  /**
   * Repeats the same conditional write until its outcome is known. A conflict after a lost
   * answer tells: the stored value carries the change's id, or the write can apply no more.
   */
  const swap = async (
    put: { key: string; valueJson: string | undefined; expectedRevision: number },
    changeId: string,
  ): Promise<Change> => {
    const deadlineAtMs = nowMs() + RESOLVE_TIMEOUT_MS;
    let isLost = false;
    for (;;) {
      const outcome = await platform.compareAndSwap([put], timeoutMs);
      if (outcome.kind === 'applied') return ran(outcome.revision);
      if (outcome.kind === 'conflict') {
        const [current] = outcome.current;
        const isOwn = changeIdsOf(current?.valueJson).includes(changeId);
        const isDeleted = isLost && put.valueJson === undefined && !current;
        if (isOwn || isDeleted) return ran(current?.modRevision ?? outcome.revision);
        return conflict(current);
      }
      if (outcome.kind === 'unavailable' && !isLost) {
        return refusedChange('platformUnavailable', outcome.message);
      }
      isLost = true;
      if (nowMs() + RETRY_DELAY_MS > deadlineAtMs) {
        return { ...refusedChange('platformUnavailable', outcome.message), verdict: 'mayHaveRun' };
      }
      await new Promise((resolve) => {
        setTimeout(resolve, RETRY_DELAY_MS);
      });
    }
  };

  return {
    read,
    /** @throws RefusalError `platformUnavailable` when nothing was written. */
    write: async (change: DocumentChange): Promise<Change> => {
      const { kind, name, document, expectedRevision } = change;
      const changeId = change.changeId || randomUUID();
      const key = documentKinds[kind].prefix + name;
      const current = await read(kind, name);
      const currentRevision = current?.modRevision ?? 0;
      if (changeIdsOf(current?.valueJson).includes(changeId)) return ran(currentRevision);
      if (expectedRevision !== ANY_REVISION && expectedRevision !== currentRevision) {
        return conflict(current);
      }
      if (document === undefined && !current) return conflict(undefined);
      const valueJson =
        document === undefined ? undefined : toStoredValue(document, changeId, current?.valueJson);
      return swap({ key, valueJson, expectedRevision: currentRevision }, changeId);
    },
    /** The only key whose hash starts with the id. @throws RefusalError */
    findKey: async (
      keyId: string,
    ): Promise<{ hash: string; document: unknown; revision: number }> => {
      const { prefix } = documentKinds.key;
      const { entries } = await platform.range(prefix + keyId, timeoutMs);
      const [entry, another] = entries;
      if (!entry?.valueJson || another) throw notRun('badRequest', `no one key ${keyId}`);
      return {
        hash: entry.key.slice(prefix.length),
        document: documentIn(entry.valueJson),
        revision: entry.modRevision,
      };
    },
  };
};

export default createDocumentWriter;
