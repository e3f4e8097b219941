import { comparePositions, createFence, type LogPosition } from '@auburngrade/coordination';
import type EventLog from '../seams/eventLog';
import type FailoverClient from '../seams/failoverClient';
import type EndpointStatus from '../seams/memberStatus';
import type GroupRecord from './groupRecord';
import createAcknowledgedPosition from './createAcknowledgedPosition';
import createCandidateSearch from './createCandidateSearch';
import type MemberPool from './memberPool';
import sleep from '../time/sleep';

/** Interval between two checks of the primary. */
const CHECK_INTERVAL_MS = 100;
/** How long open work at a leaving primary may continue before the primary is replaced. */
const PLANNED_DRAIN_TIMEOUT_MS = 1_000;
/** How long a planned replacement waits for a replica to catch up before it proceeds anyway. */
const CATCH_UP_TIMEOUT_MS = 1_000;
/** A promotion takes effect within a few hundred ms of the call. */
const PROMOTION_TIMEOUT_MS = 3_000;
const PROMOTION_POLL_MS = 60;
/** An endpoint that led before its promotion and leads no new term by now was the primary already. */
const PROMOTION_EFFECT_MS = 2_000;
/** Delay before a replica is promoted when no endpoint is primary: a starting one may still be. */
const NO_PRIMARY_GRACE_MS = 600;

interface PrimaryManagerOptions {
  group: string;
  ownerVm: string;
  pools: ReadonlyMap<string, MemberPool>;
  failover: FailoverClient;
  log: EventLog;
  nowMs(): number;
  /** The last recorded primary with its term and fence. */
  getRecordedPrimary(): Pick<GroupRecord, 'primary' | 'term' | 'fence'>;
  /** Era of the platform's store. */
  storeEra(): number;
  /** Records the next primary; returns false when this VM no longer owns the group. */
  record(next: Pick<GroupRecord, 'primary' | 'term' | 'fence'>): Promise<boolean>;
  /** Identifies the uninterrupted service of the group by this VM; undefined while it has none. */
  findTenure(): string | undefined;
  /** Whether a replacement is safe now: no earlier owner can still be using another primary. */
  canReplacePrimary(): boolean;
  /** How many replicas receive a commit before it is acknowledged. */
  syncReplicas(): number;
  /** Endpoints whose entries are gone, and whose logs no other endpoint has taken over. */
  departedEndpoints(): readonly string[];
  /** Counts open transactions and in-flight statements at an endpoint. */
  countOpenWork(endpointId: string): number;
  onPrimaryFound(endpointId: string, position: LogPosition, askedAtMs: number): void;
  onChange(): void;
  controlAccount(): string;
}

interface ProbeReply {
  id: string;
  askedAtMs: number;
  /** In which tenure it was asked. */
  tenure: string | undefined;
  status: EndpointStatus;
}

/**
 * Whether an endpoint that reports to lead a term is no former primary. The recorded term is a lower bound: the
 * recorded endpoint, if it did not know of the term before, leads a higher one, and its predecessor this one.
 */
const mayBePrimary = (
  id: string,
  term: number,
  recorded: Pick<GroupRecord, 'primary' | 'term'>,
): boolean =>
  term > recorded.term ||
  (term === recorded.term && (recorded.primary === '' || recorded.primary === id));

/** Tracks a group's primary, and promotes a replica when the primary is down or leaving. */
const createPrimaryManager = (options: PrimaryManagerOptions) => {
  const { group, pools, log, nowMs } = options;
  let primary: string | undefined;
  /** In which tenure the primary was found; in a later one it may have been replaced by another VM. */
  let primaryTenure: string | undefined;
  /** The term that the primary was found to lead. */
  let primaryTerm = 0;
  let isReplacing = false;
  /** Whether a replacement runs, from the search for a candidate to its end. */
  let isReplacementRunning = false;
  let isChecking = false;
  let isClosed = false;
  let noPrimarySinceMs: number | undefined;
  let highestSeenTerm = 0;
  const acknowledged = createAcknowledgedPosition();

  const probeEndpoints = async (ids: readonly string[]): Promise<ProbeReply[]> => {
    const replies = await Promise.all(
      ids.map(async (id) => ({
        id,
        askedAtMs: nowMs(),
        tenure: options.findTenure(),
        status: await pools.get(id)?.probe(),
      })),
    );
    return replies.flatMap(({ status, ...reply }) => (status ? [{ ...reply, status }] : []));
  };

  /** Believes an endpoint, unless it was asked in an earlier tenure; returns whether it does. */
  const acceptPrimary = (
    { id, askedAtMs, tenure, status }: ProbeReply,
    isPromoted = false,
  ): boolean => {
    if (tenure !== options.findTenure()) {
      log.info('primary.answerOutdated', { group, endpoint: id, tenure });
      return false;
    }
    primary = id;
    primaryTenure = tenure;
    primaryTerm = status.term;
    highestSeenTerm = Math.max(highestSeenTerm, status.term);
    noPrimarySinceMs = undefined;
    acknowledged.start({ tenure, position: status.receivedPosition, askedAtMs }, isPromoted);
    const { primary: recorded, term: recordedTerm, fence } = options.getRecordedPrimary();
    log.info('primary.believed', {
      group,
      endpoint: id,
      term: status.term,
      tenure,
      recorded,
      recordedTerm,
      fence,
      ageMs: Math.round(nowMs() - askedAtMs),
    });
    options.onPrimaryFound(id, status.receivedPosition, askedAtMs);
    options.onChange();
    return true;
  };

  /** Waits until work at the leaving primary has ended, at most for the drain timeout. */
  const awaitOpenWork = async (leavingId: string): Promise<void> => {
    const untilMs = nowMs() + PLANNED_DRAIN_TIMEOUT_MS;
    while (options.countOpenWork(leavingId) > 0 && nowMs() < untilMs)
      await sleep(PROMOTION_POLL_MS / 2);
  };

  const isSynchronous = (): boolean => options.syncReplicas() > 0;
  const candidates = createCandidateSearch({
    ...options,
    probe: probeEndpoints,
    acknowledgedUpTo: () => acknowledged.find(options.findTenure()),
  });
  const findCandidate = (
    oldPrimaryId: string | undefined,
    isPlanned: boolean,
  ): Promise<ProbeReply | undefined> => {
    if (!isSynchronous()) return candidates.findMostCurrent(oldPrimaryId);
    return isPlanned && oldPrimaryId !== undefined
      ? candidates.findForLeaving(oldPrimaryId)
      : candidates.findForLost(oldPrimaryId, options.getRecordedPrimary().primary);
  };

  /**
   * Waits until the candidate leads a new term. One that led before and still leads the same term after the time
   * that a promotion takes was the primary all along: an earlier promotion was recorded, but did not run.
   */
  const awaitPromotion = async (
    candidate: ProbeReply,
    isAccepted: boolean,
  ): Promise<ProbeReply | undefined> => {
    const startedAtMs = nowMs();
    while (!isClosed && nowMs() < startedAtMs + PROMOTION_TIMEOUT_MS) {
      const [reply] = await probeEndpoints([candidate.id]);
      if (reply && reply.tenure !== candidate.tenure) return undefined;
      const isUnchanged = isAccepted && nowMs() > startedAtMs + PROMOTION_EFFECT_MS;
      if (reply?.status.isPrimary && (reply.status.term > candidate.status.term || isUnchanged))
        return reply;
      await sleep(PROMOTION_POLL_MS);
    }
    return undefined;
  };

  /** Records who is the primary in which term, for the next owner to accept. */
  const recordTerm = async (next: Pick<GroupRecord, 'primary' | 'term'>): Promise<void> => {
    const { primary: recorded, term, fence } = options.getRecordedPrimary();
    if (isClosed || (recorded === next.primary && term === next.term)) return;
    log.info('primary.termCorrected', { group, ...next, recorded, recordedTerm: term });
    await options.record({ ...next, fence });
  };

  const demotePrimary = async (id: string, term: number): Promise<void> => {
    const pool = pools.get(id);
    if (!pool || pool.isDown()) return;
    try {
      const connection = await pool.acquire(options.controlAccount(), '');
      const timeoutTimer = setTimeout(
        () => pool.closeConnection(connection),
        PROMOTION_POLL_MS * 10,
      );
      await pool.send(connection, { kind: 'demote', term });
      clearTimeout(timeoutTimer);
      pool.closeConnection(connection);
    } catch (error) {
      log.info('primary.demoteFailed', { group, endpoint: id, reason: String(error) });
    }
  };

  /** Whether a call that is about to be sent still may be: connecting can outlast the right to it. */
  const mayStillSend = (call: { endpoint: string; fence: number }): boolean => {
    if (!isClosed && options.canReplacePrimary()) return true;
    const { endpoint, fence } = call;
    log.warn('primary.callWithdrawn', { group, endpoint, fence });
    return false;
  };

  /** Whether commits were acknowledged since the candidate was chosen that it may lack. */
  const lacksAcknowledged = (
    { status }: ProbeReply,
    seenBefore: LogPosition | undefined,
  ): boolean => {
    const seen = acknowledged.lastSeen();
    if (!isSynchronous() || !seen) return false;
    const hasAdvanced = !seenBefore || comparePositions(seen, seenBefore) > 0;
    return hasAdvanced && comparePositions(status.receivedPosition, seen) < 0;
  };

  const replacePrimary = async (
    oldPrimaryId: string | undefined,
    reason: string,
  ): Promise<void> => {
    const isPlanned = reason === 'leaving';
    const seenBefore = acknowledged.lastSeen();
    let candidate = await findCandidate(oldPrimaryId, isPlanned);
    if (!candidate && isSynchronous()) {
      if (isPlanned && oldPrimaryId !== undefined) candidates.logCatchUp(oldPrimaryId);
      return;
    }
    log.warn('primary.replacing', { group, endpoint: oldPrimaryId, reason, planned: isPlanned });
    if (!candidate) {
      log.warn('primary.noCandidate', { group, endpoint: oldPrimaryId, reason });
      return;
    }
    if (isPlanned && oldPrimaryId !== undefined) {
      isReplacing = true;
      await awaitOpenWork(oldPrimaryId);
      const [oldPrimary] = await probeEndpoints([oldPrimaryId]);
      const untilMs = nowMs() + CATCH_UP_TIMEOUT_MS;
      const isBehind = (): boolean =>
        candidate
          ? oldPrimary !== undefined &&
            comparePositions(
              candidate.status.receivedPosition,
              oldPrimary.status.receivedPosition,
            ) < 0
          : isSynchronous();
      while (isBehind() && nowMs() < untilMs) {
        await sleep(PROMOTION_POLL_MS / 2);
        candidate = await findCandidate(oldPrimaryId, isPlanned);
      }
    }
    if (!candidate) return;
    const fence = createFence(options.getRecordedPrimary().fence, options.storeEra());
    // The new primary's term is above all that were seen. The recorded term is only a lower bound,
    // since the promotion that it was recorded for may not have run.
    const seenTerm = Math.max(highestSeenTerm, candidate.status.term);
    const term = Math.max(seenTerm + 1, options.getRecordedPrimary().term);
    if (isClosed || !(await options.record({ primary: candidate.id, term, fence }))) return;
    if (isClosed) return;
    const oldPrimaryTerm = primaryTerm;
    primary = undefined;
    isReplacing = true;
    if (oldPrimaryId !== undefined) pools.get(oldPrimaryId)?.closeAll();
    // Nothing more is acknowledged from here on.
    if (lacksAcknowledged(candidate, seenBefore)) {
      log.warn('primary.candidateBehind', { group, endpoint: candidate.id, before: oldPrimaryId });
      if (oldPrimaryId !== undefined)
        await recordTerm({ primary: oldPrimaryId, term: oldPrimaryTerm });
      return;
    }
    const call = { group, endpoint: candidate.id, before: oldPrimaryId, fence, term, reason };
    log.info('primary.promoting', call);
    const calledAtMs = nowMs();
    let sentAfterMs: number | undefined;
    const outcome = await options.failover.promote(
      group,
      candidate.id,
      options.ownerVm,
      fence,
      () => {
        sentAfterMs = Math.round(nowMs() - calledAtMs);
        return mayStillSend(call);
      },
    );
    const tookMs = Math.round(nowMs() - calledAtMs);
    log.warn('primary.promoted', { ...call, outcome, tookMs, sentAfterMs });
    if (outcome !== 'accepted' && outcome !== 'mayHaveRun') {
      // Else no later owner would accept the primary, whose term is below the recorded one.
      if (oldPrimaryId !== undefined)
        await recordTerm({ primary: oldPrimaryId, term: oldPrimaryTerm });
      return;
    }
    const promoted = await awaitPromotion(candidate, outcome === 'accepted');
    if (!promoted || !acceptPrimary(promoted, true)) return;
    const { term: ledTerm } = promoted.status;
    if (oldPrimaryId !== undefined) demotePrimary(oldPrimaryId, ledTerm);
    recordTerm({ primary: promoted.id, term: ledTerm }).catch((error) =>
      log.warn('primary.termUnrecorded', { group, term: ledTerm, reason: String(error) }),
    );
  };

  const runReplacement = async (
    ...parameters: Parameters<typeof replacePrimary>
  ): Promise<void> => {
    isReplacementRunning = true;
    try {
      await replacePrimary(...parameters);
    } finally {
      isReplacementRunning = false;
    }
  };

  /** Accepts the endpoint that reports itself as primary with the highest term, or promotes one. */
  const findPrimary = async (): Promise<void> => {
    const recorded = options.getRecordedPrimary();
    const reachable = [...pools].filter(([, pool]) => !pool.isDown());
    const claimants = reachable.filter(
      ([id, pool]) => pool.endpoint().isRegisteredAsPrimary || id === recorded.primary,
    );
    const probed = claimants.length > 0 ? claimants : reachable;
    const replies = await probeEndpoints(probed.map(([id]) => id));
    const [newestPrimary] = replies
      .filter(({ id, status }) => status.isPrimary && mayBePrimary(id, status.term, recorded))
      .sort((a, b) => b.status.term - a.status.term);
    if (newestPrimary) {
      acceptPrimary(newestPrimary);
      return;
    }
    noPrimarySinceMs ??= nowMs();
    const isGracePeriodElapsed = nowMs() - noPrimarySinceMs > NO_PRIMARY_GRACE_MS;
    if (isGracePeriodElapsed && pools.size > 1 && options.canReplacePrimary())
      await runReplacement(undefined, 'none');
  };

  /** Whether the primary was found in the present tenure, or in the last one of a server that is drained. */
  const isPrimaryOfTenure = (): boolean => isClosed || options.findTenure() === primaryTenure;

  const checkPrimary = async (): Promise<void> => {
    if (primary !== undefined && !isPrimaryOfTenure()) {
      log.warn('primary.doubted', { group, endpoint: primary, reason: 'another owner in between' });
      primary = undefined;
      options.onChange();
    }
    const pool = primary === undefined ? undefined : pools.get(primary);
    if (primary !== undefined && !pool) {
      log.warn('primary.gone', { group, endpoint: primary });
      primary = undefined;
    }
    if (pool && primary !== undefined) {
      if (pool.isDown() && options.canReplacePrimary()) await runReplacement(primary, 'lost');
      else if (pool.endpoint().isLeaving && options.canReplacePrimary())
        await runReplacement(primary, 'leaving');
    } else {
      await findPrimary();
    }
  };

  const runCheck = (): void => {
    pools.forEach((pool) => {
      pool.probeIfOverdue();
      pool.closeExcessIdle();
    });
    if (isChecking || isClosed) return;
    isChecking = true;
    checkPrimary()
      .catch((error) => log.warn('primary.checkFailed', { group, reason: String(error) }))
      .finally(() => {
        isChecking = false;
        if (isReplacing) {
          isReplacing = false;
          options.onChange();
        }
      });
  };
  const timer = setInterval(runCheck, CHECK_INTERVAL_MS);
  runCheck();

  return {
    /** Runs a check at once, for example after endpoints were added. */
    checkNow: runCheck,
    /** The primary for new statements; undefined when unknown or while it is being replaced. */
    getAvailablePrimary: (): string | undefined =>
      isReplacing || !isPrimaryOfTenure() ? undefined : primary,
    /** The primary even while it is being replaced, for transactions that are open there. */
    getKnownPrimary: (): string | undefined => (isPrimaryOfTenure() ? primary : undefined),
    isPrimaryOfTenure,
    /** Call with each position that the known primary replies. */
    notePrimaryPosition: acknowledged.record,
    /** In which tenure the known primary was found. */
    primaryTenure: (): string | undefined => primaryTenure,
    isReplacing: (): boolean => isReplacementRunning,
    /** Forgets a primary that reported to be read-only; the next check searches again. */
    invalidatePrimary: (id: string): void => {
      if (primary !== id) return;
      log.warn('primary.doubted', { group, endpoint: id, reason: 'read-only' });
      primary = undefined;
    },
    close: (): void => {
      isClosed = true;
      clearInterval(timer);
    },
  };
};

export default createPrimaryManager;
