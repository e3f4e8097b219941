import type TermRecord from '../configuration/termRecord';
import compareLogs from './compareLogs';
import type FailoverTimings from './failoverTimings';
import type MemberView from './memberView';
import type PrimaryView from './primaryView';

interface Checkpoint {
  logTerm: number;
  position: number;
  sinceMs: number;
  sinceOwnMs: number;
}
interface Silence {
  sinceMs: number;
  sinceOwnMs: number;
}
interface Judgement {
  view: PrimaryView;
  reason: 'silent' | 'unconfirmed' | 'demoted' | undefined;
}

/** Of the time between two observations no more than this counts: the rest was a pause of this process. */
const MAX_STEP_MS = 200;
const MAX_STALL_DOUBLINGS = 5;

const isVoterAt = (view: MemberView, voters: readonly string[], checkpoint: Checkpoint): boolean =>
  voters.includes(view.member) &&
  view.status !== undefined &&
  compareLogs(view.status, checkpoint) >= 0;

/**
 * Judges a group's primary from this VM's polls: gone when it stays silent, when it
 * has lost its role, or when it answers but no majority comes to hold its log, which
 * is how a primary looks that is cut from its own members. Times are counted on an own
 * clock that does not run on while this process stands still.
 */
const createPrimaryJudge = (timings: FailoverTimings) => {
  const silences = new Map<string, Silence>();
  let views: readonly MemberView[] = [];
  let observedAtMs: number | undefined;
  let ownMs = 0;
  let term = 0;
  let checkpoint: Checkpoint | undefined;
  let demotedSinceOwnMs: number | undefined;
  let stallDoublings = 0;

  const noteTerm = (record: TermRecord): void => {
    if (record.term === term) return;
    term = record.term;
    checkpoint = undefined;
    demotedSinceOwnMs = undefined;
  };

  const noteSilence = (
    { member, unansweredSinceMs }: MemberView,
    nowMs: number,
    stepMs: number,
  ): void => {
    if (unansweredSinceMs === undefined) {
      silences.delete(member);
      return;
    }
    if (silences.get(member)?.sinceMs === unansweredSinceMs) return;
    const sinceOwnMs = ownMs - Math.min(stepMs, nowMs - unansweredSinceMs);
    silences.set(member, { sinceMs: unansweredSinceMs, sinceOwnMs });
  };

  const isSilent = ({ member }: MemberView): boolean => {
    const silence = silences.get(member);
    return silence !== undefined && ownMs - silence.sinceOwnMs >= timings.suspectAfterMs;
  };

  const isDemoted = ({ status }: MemberView): boolean => {
    const hasLostRole = status?.role === 'replica' && status.fencedTerm <= term;
    demotedSinceOwnMs = hasLostRole ? (demotedSinceOwnMs ?? ownMs) : undefined;
    return demotedSinceOwnMs !== undefined && ownMs - demotedSinceOwnMs >= timings.suspectAfterMs;
  };

  /** Others that could replace the primary, by polls from after the wait. */
  const answeringSince = (atMs: number, primary: MemberView, voters: readonly string[]) =>
    views.filter(
      (view) =>
        view !== primary &&
        voters.includes(view.member) &&
        !isSilent(view) &&
        (view.status?.askedAtMs ?? 0) >= atMs,
    );

  const isStalled = (primary: MemberView, voters: readonly string[]): boolean => {
    const { status } = primary;
    if (!status || observedAtMs === undefined) return false;
    const { logTerm, position } = status;
    const majority = voters.length / 2;
    checkpoint ??= { logTerm, position, sinceMs: observedAtMs, sinceOwnMs: ownMs };
    const mark = checkpoint;
    if (views.filter((view) => isVoterAt(view, voters, mark)).length > majority) {
      checkpoint = undefined;
      stallDoublings = 0;
      return false;
    }
    const waitMs = timings.stallAfterMs * 2 ** stallDoublings;
    if (ownMs - mark.sinceOwnMs < waitMs) return false;
    return answeringSince(mark.sinceMs + waitMs, primary, voters).length > majority;
  };

  return {
    /** Takes in what this VM's polls tell now; to be called at short intervals. */
    observe: (latest: readonly MemberView[], nowMs: number): void => {
      const stepMs = Math.min(MAX_STEP_MS, nowMs - (observedAtMs ?? nowMs));
      observedAtMs = nowMs;
      ownMs += stepMs;
      views = latest;
      views.forEach((view) => noteSilence(view, nowMs, stepMs));
    },
    /** Judges by the views of the last observation. */
    judge: (record: TermRecord): Judgement => {
      noteTerm(record);
      const primary = views.find(({ member }) => member === record.primary);
      if (!primary) return { view: 'unknown', reason: undefined };
      if (isSilent(primary)) return { view: 'gone', reason: 'silent' };
      if (isDemoted(primary)) return { view: 'gone', reason: 'demoted' };
      const voters = record.voters ?? views.map(({ member }) => member);
      if (isStalled(primary, voters)) return { view: 'gone', reason: 'unconfirmed' };
      const hasAnswered = primary.status !== undefined && primary.unansweredSinceMs === undefined;
      return { view: hasAnswered ? 'present' : 'unknown', reason: undefined };
    },
    /** Lengthens the wait before the next replacement for a stall, so that slow replicas cause few. */
    noteStallReplacement: (): void => {
      stallDoublings = Math.min(MAX_STALL_DOUBLINGS, stallDoublings + 1);
    },
    /** Whether a member answers this VM's polls. */
    isAnswering: (view: MemberView): boolean => view.status !== undefined && !isSilent(view),
  };
};

export default createPrimaryJudge;
