import type Change from './change';
import type LogEntry from './logEntry';

type Row = Record<string, string | null>;
interface TermEnd {
  term: number;
  position: number;
}

/** The log of a stand-in member and the rows that follow from it. */
const createMemberLog = () => {
  let entries: LogEntry[] = [];
  let rows = new Map<string, Row>();
  const listeners = new Set<() => void>();

  const rowKey = (table: string, key: string): string => `${table}/${key}`;
  const applyRows = (entry: LogEntry): void => {
    entry.changes.forEach(({ table, key, row }) => rows.set(rowKey(table, key), row));
  };
  const last = (): LogEntry | undefined => entries[entries.length - 1];

  return {
    position: (): number => last()?.position ?? 0,
    logTerm: (): number => last()?.term ?? 0,
    row: (table: string, key: string): Row | undefined => rows.get(rowKey(table, key)),
    /** Appends a transaction of the given term and returns its position. */
    commit: (term: number, changes: Change[]): number => {
      const entry = { position: (last()?.position ?? 0) + 1, term, changes };
      entries.push(entry);
      applyRows(entry);
      listeners.forEach((listener) => listener());
      return entry.position;
    },
    /** Appends an entry received from upstream; gaps and repeats are refused. */
    append: (entry: LogEntry): boolean => {
      if (entry.position !== (last()?.position ?? 0) + 1) return false;
      entries.push(entry);
      applyRows(entry);
      listeners.forEach((listener) => listener());
      return true;
    },
    truncate: (position: number): void => {
      entries = entries.slice(0, position);
      rows = new Map();
      entries.forEach(applyRows);
    },
    /** The last position of each term in the log. */
    termEnds: (): TermEnd[] => {
      const ends = new Map<number, number>();
      entries.forEach(({ term, position }) => ends.set(term, position));
      return [...ends].map(([term, position]) => ({ term, position }));
    },
    /** The last position that a follower with these term ends shares with this log. */
    commonPosition: (followerEnds: TermEnd[]): number => {
      const shared = followerEnds.map(({ term, position }) => {
        const own = entries.filter((entry) => entry.term === term && entry.position <= position);
        return own[own.length - 1]?.position ?? 0;
      });
      return Math.max(0, ...shared);
    },
    after: (position: number): LogEntry[] => entries.slice(position),
    onGrowth: (listener: () => void): (() => void) => {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
  };
};

export default createMemberLog;
