import type TermRecord from '../configuration/termRecord';
import compareLogs from './compareLogs';
import type MemberView from './memberView';

/** Last observed log end of a replica that is out of sync. */
interface ReplicaProgress {
  term: number;
  logTerm: number;
  position: number;
  /** Time of the first poll with this log end, or of the last repair. */
  sinceMs: number;
  waitMs: number;
}

const INITIAL_RETRY_DELAY_MS = 300;
const MAX_RETRY_DELAY_MS = 60_000;

/**
 * Finds replicas to which the `follow` command has to be sent again: those that reconnected
 * under an older term, and those that lag behind the primary without progress. The delay
 * doubles each time, since `follow` restarts the replication that a slow replica has begun.
 */
const createReplicationRepair = () => {
  const progressByMember = new Map<string, ReplicaProgress>();

  const isOutOfSync = (
    { status }: MemberView,
    record: TermRecord,
    primary: MemberView,
  ): boolean => {
    if (!status || !primary.status || status.fencedTerm > record.term) return false;
    if (status.role === 'primary' || status.fencedTerm < record.term) return true;
    return compareLogs(status, primary.status) !== 0;
  };

  /** Compares the results of two polls, so time without a new poll does not count as a stall. */
  const isRepairDue = (view: MemberView, record: TermRecord): boolean => {
    const { status } = view;
    if (!status) return false;
    const { logTerm, position, askedAtMs } = status;
    const previous = progressByMember.get(view.member);
    const hasMoved =
      previous?.term !== record.term ||
      previous.logTerm !== logTerm ||
      previous.position !== position;
    if (!previous || hasMoved) {
      const waitMs = previous?.term === record.term ? previous.waitMs : INITIAL_RETRY_DELAY_MS;
      progressByMember.set(view.member, {
        term: record.term,
        logTerm,
        position,
        sinceMs: askedAtMs,
        waitMs,
      });
      return false;
    }
    if (askedAtMs - previous.sinceMs < previous.waitMs) return false;
    previous.sinceMs = askedAtMs;
    previous.waitMs = Math.min(MAX_RETRY_DELAY_MS, previous.waitMs * 2);
    return true;
  };

  return {
    /** Returns the members to which the caller must send `follow` for the record's primary. */
    listMembersToRepair: (record: TermRecord, views: readonly MemberView[]): string[] => {
      const primary = views.find(({ member }) => member === record.primary);
      if (record.state !== 'active' || primary?.status?.role !== 'primary') return [];
      if (primary.unansweredSinceMs !== undefined) return [];
      return views
        .filter((view) => view !== primary && view.unansweredSinceMs === undefined)
        .filter((view) => {
          if (isOutOfSync(view, record, primary)) return isRepairDue(view, record);
          progressByMember.delete(view.member);
          return false;
        })
        .map(({ member }) => member);
    },
  };
};

export default createReplicationRepair;
