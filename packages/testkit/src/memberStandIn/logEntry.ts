import type Change from './change';

/** A committed transaction in a member's log. */
interface LogEntry {
  position: number;
  term: number;
  changes: Change[];
}

export default LogEntry;
