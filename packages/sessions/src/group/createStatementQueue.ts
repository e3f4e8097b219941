import { compareUrgency } from '@auburngrade/coordination';
import type createStatementAdmission from './createStatementAdmission';
import type PendingStatement from './pendingStatement';

interface StartAttempt {
  /** Whether any endpoint can take a statement. */
  hasCapacity(): boolean;
  /** Starts or refuses a statement; returns false when no endpoint can take it yet. */
  tryStart(statement: PendingStatement): boolean;
}

/** Creates the queue of a group's statements that wait for an endpoint, most urgent first. */
const createStatementQueue = (
  nowMs: () => number,
  admission: ReturnType<typeof createStatementAdmission>,
) => {
  let entries: PendingStatement[] = [];

  return {
    size: () => entries.length,
    first: () => entries[0],
    add: (statement: PendingStatement): void => {
      entries.push(statement);
      admission.noteQueued(statement);
    },
    /** Removes a statement; returns false when it is not queued. */
    remove: (statement: PendingStatement): boolean => {
      const index = entries.indexOf(statement);
      if (index < 0) return false;
      entries.splice(index, 1);
      admission.noteDequeued(statement);
      return true;
    },
    /** Removes the statements for which `isTaken` is true, and returns them. */
    take: (isTaken: (statement: PendingStatement) => boolean): PendingStatement[] => {
      const taken = entries.filter(isTaken);
      entries = entries.filter((statement) => !isTaken(statement));
      taken.forEach(admission.noteDequeued);
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
        if (isStarted) admission.noteDequeued(statement);
        return !isStarted;
      });
      entries = [...waiting, ...entries];
      return waiting;
    },
  };
};

export default createStatementQueue;
