import {
  chooseEndpoint,
  computeMaxMemberAgeMs,
  createNotRunError,
  profileSchema,
  type ConfigurationState,
  type Profile,
  type ReadContext,
  type ReadTarget,
  type TransactionRequest,
} from '@auburngrade/coordination';
import type DataCentres from '../evacuation/dataCentres';
import type GroupClient from '../groups/groupClient';
import type FreshnessTracker from './freshnessTracker';
import type PrimaryWaiter from './primaryWaiter';
import type ReadPlan from './readPlan';
import sleep from '../time/sleep';

interface ReadPlannerOptions {
  dataCentre: string;
  /** How long a read waits for a replica to catch up before it goes to the primary. */
  catchUpWaitMs: number;
  configuration: ConfigurationState;
  dataCentres: Pick<DataCentres, 'evacuated'>;
  primaryWaiter: PrimaryWaiter;
  freshnessTracker: FreshnessTracker;
  avoided(): ReadonlySet<string>;
  nowMs(): number;
}

type ReadPolicy = Pick<Profile, 'freshness' | 'endpoints'>;

const CATCH_UP_CHECK_INTERVAL_MS = 2;
const TERM_RECORD_CHECK_INTERVAL_MS = 20;
/** How long a read waits for a term record that its session token shows to exist. */
const MAX_TERM_RECORD_WAIT_MS = 1_000;
const RETRY_AFTER_MS = 500;
/** Watermarks per `maxAgeMs`: enough that a lagging replica has a recent one to be dated by. */
const WATERMARKS_PER_MAX_AGE = 5;
const MIN_WATERMARK_SPACING_MS = 20;

/** Used when the profile's document is missing: the strictest freshness. */
const MISSING_PROFILE_POLICY: ReadPolicy = {
  ...profileSchema.parse({}),
  freshness: { kind: 'primary' },
};

/** Chooses the member for a read: a fresh replica, at once or after a short wait, else the primary. */
const createReadPlanner = (options: ReadPlannerOptions) => {
  const { configuration, freshnessTracker, primaryWaiter, nowMs } = options;

  const readStateOf = (
    groupClient: GroupClient,
    request: TransactionRequest,
    { freshness, endpoints }: ReadPolicy,
  ): ReadContext => {
    const record = groupClient.record();
    if (!record)
      throw createNotRunError(
        'noPrimary',
        `group ${groupClient.name} has no term record yet`,
        RETRY_AFTER_MS,
      );
    return {
      record,
      members: groupClient.group.members,
      statuses: groupClient.statuses(),
      watermarks: freshnessTracker.observe(groupClient),
      sessionPosition: request.sessionToken[request.group],
      freshness,
      maxLagPositions: endpoints.joinMaxLagPositions,
      dataCentre: options.dataCentre,
      avoided: options.avoided(),
      evacuatedDataCentres: options.dataCentres.evacuated(),
      nowMs: nowMs(),
      random: Math.random(),
    };
  };

  const waitForTarget = async (
    groupClient: GroupClient,
    request: TransactionRequest,
    policy: ReadPolicy,
  ): Promise<{ target: ReadTarget; state: ReadContext }> => {
    const startedAtMs = nowMs();
    const waitUntilMs = (target: ReadTarget): number => {
      const waitMs =
        target.kind === 'recordBehind' ? MAX_TERM_RECORD_WAIT_MS : options.catchUpWaitMs;
      return Math.min(startedAtMs + waitMs, request.deadlineAtMs);
    };
    for (;;) {
      const state = readStateOf(groupClient, request, policy);
      const target = chooseEndpoint(state);
      const isFinal = target.kind === 'serve' || policy.freshness.kind === 'primary';
      if (isFinal || nowMs() >= waitUntilMs(target)) return { target, state };
      // Do not wait for all polls: an unresponsive member must not delay the statuses of others.
      if (target.kind === 'recordBehind') await sleep(TERM_RECORD_CHECK_INTERVAL_MS);
      else await Promise.race([groupClient.poll(), sleep(CATCH_UP_CHECK_INTERVAL_MS)]);
    }
  };

  const freshUntilMs = (state: ReadContext, member: string): number | undefined => {
    if (state.freshness.kind !== 'maxAge') return undefined;
    const status = state.statuses.find((candidate) => candidate.member === member);
    const { watermarks, record } = state;
    const ageMs = status
      ? computeMaxMemberAgeMs(status, watermarks, record, state.nowMs)
      : Number.POSITIVE_INFINITY;
    return state.nowMs - ageMs + state.freshness.maxAgeMs;
  };

  const planOnPrimary = (state: ReadContext, primary: string): ReadPlan => {
    const untilMs = freshUntilMs(state, primary);
    const isWithinMaxAge = untilMs !== undefined && untilMs > nowMs();
    return {
      member: primary,
      role: 'primary',
      term: state.record.term,
      freshUntilMs: isWithinMaxAge ? untilMs : undefined,
      isConfirmationRequired: state.freshness.kind !== 'session' && !isWithinMaxAge,
    };
  };

  /** Polls the group if its latest watermark is old, to keep them closely spaced for `maxAge`. */
  const refreshWatermarks = (groupClient: GroupClient, state: ReadContext): void => {
    if (state.freshness.kind !== 'maxAge') return;
    const latestAgeMs = state.nowMs - (state.watermarks.at(-1)?.askedAtMs ?? 0);
    const spacingMs = state.freshness.maxAgeMs / WATERMARKS_PER_MAX_AGE;
    if (latestAgeMs > Math.max(MIN_WATERMARK_SPACING_MS, spacingMs)) groupClient.poll();
  };

  /** @throws RefusalError `noFreshEndpoint`, `noPrimary` or `dataCentreEvacuated`. */
  const plan = async (
    groupClient: GroupClient,
    request: TransactionRequest,
    isPrimaryOnly: boolean,
  ): Promise<ReadPlan> => {
    const profile = configuration.get('profile', request.profile) ?? MISSING_PROFILE_POLICY;
    const policy: ReadPolicy = isPrimaryOnly
      ? { ...profile, freshness: { kind: 'primary' } }
      : profile;
    const { target, state } = await waitForTarget(groupClient, request, policy);
    refreshWatermarks(groupClient, state);
    if (target.kind === 'recordBehind') {
      throw createNotRunError(
        'noFreshEndpoint',
        'the session token has a later term than this VM knows',
        RETRY_AFTER_MS,
      );
    }
    if (target.kind === 'notFresh') {
      const isUsable = primaryWaiter.isUsable(groupClient);
      if (target.primary !== undefined && isUsable) return planOnPrimary(state, target.primary);
      if (target.primary !== undefined) {
        await primaryWaiter.wait(groupClient, request.deadlineAtMs);
        return plan(groupClient, request, isPrimaryOnly);
      }
      throw createNotRunError(
        'noFreshEndpoint',
        'no endpoint is fresh enough for the request',
        RETRY_AFTER_MS,
      );
    }
    const [member] = target.members;
    if (member === undefined)
      throw new Error('chooseEndpoint returned a serve target without members');
    return {
      member,
      role: 'replica',
      term: state.record.term,
      freshUntilMs: freshUntilMs(state, member),
      isConfirmationRequired: false,
    };
  };

  return { plan };
};

export default createReadPlanner;
