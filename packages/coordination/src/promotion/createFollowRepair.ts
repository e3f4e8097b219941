import type TermRecord from '../configuration/termRecord';
import compareLogs from './compareLogs';
import type MemberView from './memberView';

interface Tracked {
  term: number;
  logTerm: number;
  position: number;
  sinceMs: number;
  waitMs: number;
}

const FIRST_WAIT_MS = 300;
const MAX_WAIT_MS = 60_000;

/**
 * Finds members that have to be told again whom to follow: those that came back under
 * an older term, and those that stay behind the primary without progress. The wait
 * doubles, since following anew restarts what a slow member had under way.
 */
const createFollowRepair = () => {
  const tracked = new Map<string, Tracked>();

  const isAstray = ({ status }: MemberView, record: TermRecord, primary: MemberView): boolean => {
    if (!status || !primary.status || status.fencedTerm > record.term) return false;
    if (status.role === 'primary' || status.fencedTerm < record.term) return true;
    return compareLogs(status, primary.status) !== 0;
  };

  /** Progress is judged from one poll to a later one, and not by the time between. */
  const isDue = (view: MemberView, record: TermRecord): boolean => {
    const { status } = view;
    if (!status) return false;
    const { logTerm, position, askedAtMs } = status;
    const known = tracked.get(view.member);
    const hasMoved =
      known?.term !== record.term || known.logTerm !== logTerm || known.position !== position;
    if (!known || hasMoved) {
      const waitMs = known?.term === record.term ? known.waitMs : FIRST_WAIT_MS;
      tracked.set(view.member, {
        term: record.term,
        logTerm,
        position,
        sinceMs: askedAtMs,
        waitMs,
      });
      return false;
    }
    if (askedAtMs - known.sinceMs < known.waitMs) return false;
    known.sinceMs = askedAtMs;
    known.waitMs = Math.min(MAX_WAIT_MS, known.waitMs * 2);
    return true;
  };

  return {
    /** Names of members that must follow the record's primary anew. */
    due: (record: TermRecord, views: readonly MemberView[]): string[] => {
      const primary = views.find(({ member }) => member === record.primary);
      if (record.state !== 'active' || primary?.status?.role !== 'primary') return [];
      if (primary.unansweredSinceMs !== undefined) return [];
      return views
        .filter((view) => view !== primary && view.unansweredSinceMs === undefined)
        .filter((view) => {
          if (isAstray(view, record, primary)) return isDue(view, record);
          tracked.delete(view.member);
          return false;
        })
        .map(({ member }) => member);
    },
  };
};

export default createFollowRepair;
