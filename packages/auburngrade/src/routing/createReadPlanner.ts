import {
  chooseEndpoint,
  memberAgeMs,
  notRun,
  profileSchema,
  type ConfigurationState,
  type Profile,
  type ReadState,
  type ReadTarget,
  type TransactionRequest,
} from '@auburngrade/coordination';
import type GroupHolder from '../groups/groupHolder';
import type FreshnessTracker from './freshnessTracker';
import type ReadPlan from './readPlan';
import sleep from '../time/sleep';

interface ReadPlannerOptions {
  dataCentre: string;
  /** How long a read waits for a replica to catch up before it goes to the primary. */
  catchUpWaitMs: number;
  configuration: ConfigurationState;
  tracker: FreshnessTracker;
  avoided(): ReadonlySet<string>;
  nowMs(): number;
}

type ReadPolicy = Pick<Profile, 'freshness' | 'endpoints'>;

const POLL_STEP_MS = 2;
const RECORD_POLL_STEP_MS = 20;
/** How long a read waits for a term record that its session already knows. */
const RECORD_WAIT_MS = 1_000;
const RETRY_AFTER_MS = 500;
/** How many watermarks a stated age spans, so that a lagging replica has one to date it by. */
const WATERMARKS_PER_AGE = 5;
const MIN_SPACING_MS = 20;

/** Without the profile's document the strictest freshness holds. */
const UNKNOWN_PROFILE: ReadPolicy = {
  ...profileSchema.parse({}),
  freshness: { kind: 'primary' },
};

/** Finds the member for a read: a fresh replica, at once or after a short wait, else the primary. */
const createReadPlanner = (options: ReadPlannerOptions) => {
  const { configuration, tracker, nowMs } = options;

  const stateOf = (
    holder: GroupHolder,
    request: TransactionRequest,
    { freshness, endpoints }: ReadPolicy,
  ): ReadState => {
    const record = holder.record();
    if (!record) throw notRun('noPrimary', `group ${holder.name} has no term yet`, RETRY_AFTER_MS);
    return {
      record,
      members: holder.group.members,
      statuses: holder.statuses(),
      watermarks: tracker.observe(holder),
      tokenEntry: request.sessionToken[request.group],
      freshness,
      maxLagPositions: endpoints.joinMaxLagPositions,
      dataCentre: options.dataCentre,
      avoided: options.avoided(),
      nowMs: nowMs(),
      random: Math.random(),
    };
  };

  const awaitTarget = async (
    holder: GroupHolder,
    request: TransactionRequest,
    policy: ReadPolicy,
  ): Promise<{ target: ReadTarget; state: ReadState }> => {
    const startedAtMs = nowMs();
    const limitOf = (target: ReadTarget): number => {
      const waitMs = target.kind === 'recordBehind' ? RECORD_WAIT_MS : options.catchUpWaitMs;
      return Math.min(startedAtMs + waitMs, request.deadlineAtMs);
    };
    for (;;) {
      const state = stateOf(holder, request, policy);
      const target = chooseEndpoint(state);
      const isSettled = target.kind === 'serve' || policy.freshness.kind === 'primary';
      if (isSettled || nowMs() >= limitOf(target)) return { target, state };
      // One member that does not answer must not delay what the others can show.
      if (target.kind === 'recordBehind') await sleep(RECORD_POLL_STEP_MS);
      else await Promise.race([holder.poll(), sleep(POLL_STEP_MS)]);
    }
  };

  const freshUntilMs = (state: ReadState, member: string): number | undefined => {
    if (state.freshness.kind !== 'maxAge') return undefined;
    const status = state.statuses.find((candidate) => candidate.member === member);
    const { watermarks, record } = state;
    const ageMs = status
      ? memberAgeMs(status, watermarks, record, state.nowMs)
      : Number.POSITIVE_INFINITY;
    return state.nowMs - ageMs + state.freshness.maxAgeMs;
  };

  const primaryPlan = (state: ReadState, primary: string): ReadPlan => {
    const untilMs = freshUntilMs(state, primary);
    const isVouched = untilMs !== undefined && untilMs > nowMs();
    return {
      member: primary,
      role: 'primary',
      term: state.record.term,
      freshUntilMs: isVouched ? untilMs : undefined,
      isConfirmed: state.freshness.kind !== 'session' && !isVouched,
    };
  };

  /** Keeps watermarks closely spaced while reads of a stated age come in. */
  const refreshAhead = (holder: GroupHolder, state: ReadState): void => {
    if (state.freshness.kind !== 'maxAge') return;
    const lastAgeMs = state.nowMs - (state.watermarks.at(-1)?.askedAtMs ?? 0);
    const spacingMs = state.freshness.maxAgeMs / WATERMARKS_PER_AGE;
    if (lastAgeMs > Math.max(MIN_SPACING_MS, spacingMs)) holder.poll();
  };

  return {
    /** @throws RefusalError `noFreshEndpoint` or `noPrimary`. */
    plan: async (
      holder: GroupHolder,
      request: TransactionRequest,
      isPrimaryOnly: boolean,
    ): Promise<ReadPlan> => {
      const profile = configuration.get('profile', request.profile) ?? UNKNOWN_PROFILE;
      const policy: ReadPolicy = isPrimaryOnly
        ? { ...profile, freshness: { kind: 'primary' } }
        : profile;
      const { target, state } = await awaitTarget(holder, request, policy);
      refreshAhead(holder, state);
      if (target.kind === 'recordBehind') {
        throw notRun('noFreshEndpoint', 'the session is ahead of the known term', RETRY_AFTER_MS);
      }
      if (target.kind === 'notFresh') {
        if (target.primary !== undefined) return primaryPlan(state, target.primary);
        throw notRun('noFreshEndpoint', 'no endpoint is fresh enough', RETRY_AFTER_MS);
      }
      const [member] = target.members;
      if (member === undefined) throw new Error('a target without members');
      return {
        member,
        role: 'replica',
        term: state.record.term,
        freshUntilMs: freshUntilMs(state, member),
        isConfirmed: false,
      };
    },
  };
};

export default createReadPlanner;
