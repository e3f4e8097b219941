import type TermRecord from '../configuration/termRecord';
import compareLogs from './compareLogs';
import type FailoverTimings from './failoverTimings';
import type MemberView from './memberView';
import type PrimaryHealth from './primaryHealth';

/** Log end of the primary that a majority must reach. */
interface Checkpoint {
  logTerm: number;
  position: number;
  /** Monotonic time. */
  sinceMs: number;
  /** Running time: monotonic time without pauses of this process. */
  sinceOwnMs: number;
}
/** Period in which a member has not answered, from its first unanswered poll. */
interface UnansweredPeriod {
  sinceMs: number;
  sinceOwnMs: number;
}
interface Assessment {
  view: PrimaryHealth;
  reason: 'silent' | 'unconfirmed' | 'demoted' | undefined;
}

/** Upper bound on the time counted between two observations: the rest was a pause of this process. */
const MAX_COUNTED_STEP_MS = 200;
const MAX_STALL_DOUBLINGS = 5;

const isVoterAtCheckpoint = (
  view: MemberView,
  voters: readonly string[],
  checkpoint: Checkpoint,
): boolean =>
  voters.includes(view.member) &&
  view.status !== undefined &&
  compareLogs(view.status, checkpoint) >= 0;

/**
 * Failure detector for a group's primary, fed by this VM's polls. The primary is `gone` when
 * it does not answer, when it has lost its role, or when it answers but no majority catches
 * up with its log, the symptom of a primary partitioned from its replicas. Periods are
 * measured in running time, which excludes pauses of this process.
 */
const createPrimaryFailureDetector = (timings: FailoverTimings) => {
  const unansweredPeriods = new Map<string, UnansweredPeriod>();
  let views: readonly MemberView[] = [];
  let lastObservedAtMs: number | undefined;
  let runningTimeMs = 0;
  let term = 0;
  let checkpoint: Checkpoint | undefined;
  /** In running time. */
  let demotedAtMs: number | undefined;
  let stallDoublings = 0;

  const resetOnNewTerm = (record: TermRecord): void => {
    if (record.term === term) return;
    term = record.term;
    checkpoint = undefined;
    demotedAtMs = undefined;
  };

  const trackUnansweredPolls = (
    { member, unansweredSinceMs }: MemberView,
    nowMs: number,
    stepMs: number,
  ): void => {
    if (unansweredSinceMs === undefined) {
      unansweredPeriods.delete(member);
      return;
    }
    if (unansweredPeriods.get(member)?.sinceMs === unansweredSinceMs) return;
    const sinceOwnMs = runningTimeMs - Math.min(stepMs, nowMs - unansweredSinceMs);
    unansweredPeriods.set(member, { sinceMs: unansweredSinceMs, sinceOwnMs });
  };

  const isUnresponsive = ({ member }: MemberView): boolean => {
    const period = unansweredPeriods.get(member);
    return period !== undefined && runningTimeMs - period.sinceOwnMs >= timings.suspectAfterMs;
  };

  const isDemoted = ({ status }: MemberView): boolean => {
    const hasLostRole = status?.role === 'replica' && status.fencedTerm <= term;
    demotedAtMs = hasLostRole ? (demotedAtMs ?? runningTimeMs) : undefined;
    return demotedAtMs !== undefined && runningTimeMs - demotedAtMs >= timings.suspectAfterMs;
  };

  /** Other voters that answered a poll sent at `atMs` or later. */
  const listVotersAnsweredSince = (atMs: number, primary: MemberView, voters: readonly string[]) =>
    views.filter(
      (view) =>
        view !== primary &&
        voters.includes(view.member) &&
        !isUnresponsive(view) &&
        (view.status?.askedAtMs ?? 0) >= atMs,
    );

  const isStalled = (primary: MemberView, voters: readonly string[]): boolean => {
    const { status } = primary;
    if (!status || lastObservedAtMs === undefined) return false;
    const { logTerm, position } = status;
    const halfOfVoters = voters.length / 2;
    checkpoint ??= { logTerm, position, sinceMs: lastObservedAtMs, sinceOwnMs: runningTimeMs };
    const target = checkpoint;
    if (views.filter((view) => isVoterAtCheckpoint(view, voters, target)).length > halfOfVoters) {
      checkpoint = undefined;
      stallDoublings = 0;
      return false;
    }
    const waitMs = timings.stallAfterMs * 2 ** stallDoublings;
    if (runningTimeMs - target.sinceOwnMs < waitMs) return false;
    return listVotersAnsweredSince(target.sinceMs + waitMs, primary, voters).length > halfOfVoters;
  };

  return {
    /** Records this VM's latest poll results; call at intervals below `MAX_COUNTED_STEP_MS`. */
    observe: (latestViews: readonly MemberView[], nowMs: number): void => {
      const stepMs = Math.min(MAX_COUNTED_STEP_MS, nowMs - (lastObservedAtMs ?? nowMs));
      lastObservedAtMs = nowMs;
      runningTimeMs += stepMs;
      views = latestViews;
      views.forEach((view) => trackUnansweredPolls(view, nowMs, stepMs));
    },
    /** Assesses the record's primary by the last observation. */
    assess: (record: TermRecord): Assessment => {
      resetOnNewTerm(record);
      const primary = views.find(({ member }) => member === record.primary);
      if (!primary) return { view: 'unknown', reason: undefined };
      if (isUnresponsive(primary)) return { view: 'gone', reason: 'silent' };
      if (isDemoted(primary)) return { view: 'gone', reason: 'demoted' };
      const voters = record.voters ?? views.map(({ member }) => member);
      if (isStalled(primary, voters)) return { view: 'gone', reason: 'unconfirmed' };
      const hasAnswered = primary.status !== undefined && primary.unansweredSinceMs === undefined;
      return { view: hasAnswered ? 'present' : 'unknown', reason: undefined };
    },
    /** Doubles the stall time-out after a replacement, so that slow replicas cause few replacements. */
    recordStallReplacement: (): void => {
      stallDoublings = Math.min(MAX_STALL_DOUBLINGS, stallDoublings + 1);
    },
    /** Whether a member has answered a poll, and no poll has been unanswered for `suspectAfterMs`. */
    isAnswering: (view: MemberView): boolean => view.status !== undefined && !isUnresponsive(view),
  };
};

export default createPrimaryFailureDetector;
