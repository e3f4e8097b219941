import { compareUrgency, createQueueBound } from '@auburngrade/coordination';
import countTextBytes from '../limits/countTextBytes';
import type createStatementAdmission from './createStatementAdmission';
import type PendingStatement from './pendingStatement';

/** Several times what arrives at a busy group within a time limit; some 20 MB with what they refer to. */
const MAX_ENTRIES = 8_000;
/** Thirty-two statements of the largest size; a tenth of the memory of a small VM. */
const MAX_BYTES = 32 * 1024 * 1024;

interface StartAttempt {
  /** Whether any endpoint can take a statement. */
  hasCapacity(): boolean;
  /** Starts or refuses a statement; returns false when no endpoint can take it yet. */
  tryStart(statement: PendingStatement): boolean;
}

const sizeOf = ({ call }: PendingStatement): number =>
  countTextBytes(call.text) +
  countTextBytes(call.prepared?.shape ?? '') +
  countTextBytes(call.prepared?.argumentsText ?? '');

/** Creates the queue of a group's statements that wait for an endpoint, most urgent first. */
const createStatementQueue = (
  nowMs: () => number,
  admission: ReturnType<typeof createStatementAdmission>,
) => {
  let entries: PendingStatement[] = [];
  const queued = new Set<PendingStatement>();
  const bound = createQueueBound<PendingStatement>({ entries: MAX_ENTRIES, bytes: MAX_BYTES });

  const noteDequeued = (statement: PendingStatement): void => {
    queued.delete(statement);
    admission.noteDequeued(statement);
    bound.remove(statement);
  };
  const remove = (statement: PendingStatement): boolean => {
    const index = entries.indexOf(statement);
    if (index < 0) return false;
    entries.splice(index, 1);
    noteDequeued(statement);
    return true;
  };

  return {
    size: () => entries.length,
    first: () => entries[0],
    add: (statement: PendingStatement): void => {
      entries.push(statement);
      queued.add(statement);
    },
    /**
     * Counts a statement that could not start when it was added; removes and returns what is beyond
     * the bounds of the queue. Statements that start at once need no count.
     */
    settle: (statement: PendingStatement): PendingStatement[] => {
      if (!queued.has(statement)) return [];
      admission.noteQueued(statement);
      // Open transactions are bounded by the connections that they hold.
      if (!statement.isInTransaction)
        bound.add(statement, statement.call.account, sizeOf(statement));
      return bound.takeExcess().filter(remove);
    },
    /** Removes a statement; returns false when it is not queued. */
    remove,
    /** Removes the statements for which `isTaken` is true, and returns them. */
    take: (isTaken: (statement: PendingStatement) => boolean): PendingStatement[] => {
      const taken = entries.filter(isTaken);
      entries = entries.filter((statement) => !isTaken(statement));
      taken.forEach(noteDequeued);
      return taken;
    },
    /** Starts what can start, in order of urgency; returns the statements that go on waiting. */
    start: ({ hasCapacity, tryStart }: StartAttempt): PendingStatement[] => {
      const now = nowMs();
      entries.sort((a, b) => compareUrgency(a, b, now));
      const candidates = entries;
      entries = [];
      const waiting = candidates.filter((statement) => {
        if (!hasCapacity()) return true;
        const isStarted = tryStart(statement);
        if (isStarted) noteDequeued(statement);
        return !isStarted;
      });
      entries = [...waiting, ...entries];
      return waiting;
    },
  };
};

export default createStatementQueue;
