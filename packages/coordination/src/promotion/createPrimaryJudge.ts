import type TermRecord from '../configuration/termRecord';
import compareLogs from './compareLogs';
import type FailoverTimings from './failoverTimings';
import type MemberView from './memberView';
import type PrimaryView from './primaryView';

interface Checkpoint {
  logTerm: number;
  position: number;
  sinceMs: number;
}
interface Judgement {
  view: PrimaryView;
  reason: 'silent' | 'unconfirmed' | 'demoted' | undefined;
}

/** A gap between two judgements longer than this shows that this process itself stood still. */
const OWN_PAUSE_MS = 300;
const MAX_STALL_DOUBLINGS = 5;

const isVoterAt = (view: MemberView, voters: readonly string[], checkpoint: Checkpoint): boolean =>
  voters.includes(view.member) &&
  view.status !== undefined &&
  compareLogs(view.status, checkpoint) >= 0;

/**
 * Judges a group's primary from this VM's polls: gone when it stays silent, when it
 * has lost its role, or when it answers but no majority comes to hold its log, which
 * is how a primary looks that is cut from its own members.
 */
const createPrimaryJudge = (timings: FailoverTimings) => {
  let term = 0;
  let judgedAtMs: number | undefined;
  let resumedAtMs = 0;
  let checkpoint: Checkpoint | undefined;
  let demotedSinceMs: number | undefined;
  let stallDoublings = 0;

  const noteTime = (nowMs: number): void => {
    if (judgedAtMs === undefined || nowMs - judgedAtMs > OWN_PAUSE_MS) {
      resumedAtMs = nowMs;
      checkpoint = undefined;
      demotedSinceMs = undefined;
    }
    judgedAtMs = nowMs;
  };

  const noteTerm = (record: TermRecord): void => {
    if (record.term === term) return;
    term = record.term;
    checkpoint = undefined;
    demotedSinceMs = undefined;
  };

  const isSilent = (view: MemberView, nowMs: number): boolean =>
    view.unansweredSinceMs !== undefined &&
    nowMs - Math.max(view.unansweredSinceMs, resumedAtMs) >= timings.suspectAfterMs;

  const isDemoted = (view: MemberView, nowMs: number): boolean => {
    const hasLostRole = view.status?.role === 'replica' && view.status.fencedTerm <= term;
    demotedSinceMs = hasLostRole ? (demotedSinceMs ?? nowMs) : undefined;
    return demotedSinceMs !== undefined && nowMs - demotedSinceMs >= timings.suspectAfterMs;
  };

  const isStalled = (
    primary: MemberView,
    views: readonly MemberView[],
    voters: readonly string[],
    nowMs: number,
  ): boolean => {
    const { status } = primary;
    if (!status) return false;
    const majority = voters.length / 2;
    checkpoint ??= { logTerm: status.logTerm, position: status.position, sinceMs: nowMs };
    const mark = checkpoint;
    if (views.filter((view) => isVoterAt(view, voters, mark)).length > majority) {
      checkpoint = undefined;
      stallDoublings = 0;
      return false;
    }
    const answering = views.filter(
      (view) => voters.includes(view.member) && view !== primary && !isSilent(view, nowMs),
    );
    if (answering.length <= majority) return false;
    const isOver = nowMs - mark.sinceMs >= timings.stallAfterMs * 2 ** stallDoublings;
    return isOver;
  };

  return {
    judge: (record: TermRecord, views: readonly MemberView[], nowMs: number): Judgement => {
      noteTime(nowMs);
      noteTerm(record);
      const primary = views.find(({ member }) => member === record.primary);
      if (!primary) return { view: 'unknown', reason: undefined };
      if (isSilent(primary, nowMs)) return { view: 'gone', reason: 'silent' };
      if (isDemoted(primary, nowMs)) return { view: 'gone', reason: 'demoted' };
      const voters = record.voters ?? views.map(({ member }) => member);
      if (isStalled(primary, views, voters, nowMs)) return { view: 'gone', reason: 'unconfirmed' };
      const hasAnswered = primary.status !== undefined && primary.unansweredSinceMs === undefined;
      return { view: hasAnswered ? 'present' : 'unknown', reason: undefined };
    },
    /** Lengthens the wait before the next replacement for a stall, so that slow replicas cause few. */
    noteStallReplacement: (): void => {
      stallDoublings = Math.min(MAX_STALL_DOUBLINGS, stallDoublings + 1);
    },
    /** Whether a member answers this VM's polls. */
    isAnswering: (view: MemberView, nowMs: number): boolean =>
      view.status !== undefined && !isSilent(view, nowMs),
  };
};

export default createPrimaryJudge;
