import {
  comparePositions,
  createFence,
  maxPosition,
  type LogPosition,
} from '@auburngrade/coordination';
import sleep from '../time/sleep';
import type createAcknowledgedPosition from './createAcknowledgedPosition';
import createBlockedLog from './createBlockedLog';
import createCandidateSearch from './createCandidateSearch';
import createPromotion from './createPromotion';
import type PrimaryManagerOptions from './primaryManagerOptions';
import type PrimaryState from './primaryState';
import type ProbeReply from './probeReply';
import type ReplacementReason from './replacementReason';

/** How long open work at a leaving primary may continue before the primary is replaced. */
const PLANNED_DRAIN_TIMEOUT_MS = 1_000;
/** How long a planned replacement waits for a replica to catch up before it proceeds anyway. */
const CATCH_UP_TIMEOUT_MS = 1_000;
const CATCH_UP_POLL_MS = 30;
/**
 * How long the most current replica elsewhere is waited for in the last phase of an evacuation, while the primary can't
 * be used any more: a primary that still replicates needs about as long to send what replicas lack.
 */
const EVACUATED_CATCH_UP_TIMEOUT_MS = 5_000;

interface ReplacementOptions extends PrimaryManagerOptions {
  state: PrimaryState;
  acknowledged: ReturnType<typeof createAcknowledgedPosition>;
  probe(ids: readonly string[]): Promise<ProbeReply[]>;
  /** Believes an endpoint that leads, unless it was asked in an earlier tenure; returns whether it does. */
  acceptPrimary(reply: ProbeReply, isPromoted: boolean): boolean;
}

/** Replaces the primary by a replica: finds the replica, records and promotes it. */
const createReplacement = (options: ReplacementOptions) => {
  const { group, pools, state, acknowledged, log, nowMs } = options;
  const promotion = createPromotion(options);
  const logBlocked = createBlockedLog(options);
  /** What no replica elsewhere had when the primary was last stopped in vain for its evacuation. */
  let missedPosition: LogPosition | undefined;

  const isBehind = ({ status }: ProbeReply, target: LogPosition | undefined): boolean =>
    target !== undefined && comparePositions(status.receivedPosition, target) < 0;

  /** Waits until work at the leaving primary has ended, at most for the drain timeout. */
  const awaitOpenWork = async (leavingId: string): Promise<void> => {
    const untilMs = nowMs() + PLANNED_DRAIN_TIMEOUT_MS;
    while (options.countOpenWork(leavingId) > 0 && nowMs() < untilMs) await sleep(CATCH_UP_POLL_MS);
  };

  const isSynchronous = (): boolean => options.syncReplicas() > 0;
  const candidates = createCandidateSearch({
    ...options,
    probe: options.probe,
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

  /**
   * Waits, with the primary stopped, until open work has ended and the candidate has received all of the primary's
   * log. Returns undefined if the primary goes on instead.
   */
  const awaitCandidate = async (
    first: ProbeReply,
    oldPrimaryId: string,
    reason: ReplacementReason,
  ): Promise<ProbeReply | undefined> => {
    state.isReplacing = true;
    await awaitOpenWork(oldPrimaryId);
    const [oldPrimary] = await options.probe([oldPrimaryId]);
    const stoppedAt = oldPrimary?.status.receivedPosition;
    // Transactions that are still open may commit meanwhile. An evacuation loses nothing that was acknowledged while
    // the primary still replicates.
    const getTarget = (): LogPosition | undefined =>
      reason === 'leaving' ? stoppedAt : maxPosition(stoppedAt, acknowledged.lastSeen());
    const untilMs = nowMs() + CATCH_UP_TIMEOUT_MS;
    let candidate: ProbeReply | undefined = first;
    const isWaiting = (): boolean =>
      candidate ? isBehind(candidate, getTarget()) : isSynchronous();
    while (isWaiting() && nowMs() < untilMs) {
      await sleep(CATCH_UP_POLL_MS);
      candidate = await findCandidate(oldPrimaryId, true);
    }
    if (reason === 'leaving' || !candidate) return candidate;
    missedPosition = getTarget();
    if (!isBehind(candidate, missedPosition)) return candidate;
    logBlocked(oldPrimaryId, { id: candidate.id, reason: 'candidateBehind' });
    return undefined;
  };

  /** Waits for what was acknowledged since the candidate was chosen, which the former primary still replicates. */
  const awaitReceived = async (
    candidate: ProbeReply,
    before: string | undefined,
  ): Promise<void> => {
    const untilMs = nowMs() + CATCH_UP_TIMEOUT_MS;
    let latest: ProbeReply | undefined = candidate;
    while (latest && isBehind(latest, acknowledged.lastSeen()) && nowMs() < untilMs) {
      await sleep(CATCH_UP_POLL_MS);
      [latest] = await options.probe([candidate.id]);
    }
    if (latest && isBehind(latest, acknowledged.lastSeen()))
      log.warn('primary.candidateBehind', { group, endpoint: candidate.id, before });
  };

  /** Whether a replica that may be behind is waited for longer, since the primary was evacuated only now. */
  const waitsInLastPhase = (candidate: ProbeReply, oldPrimaryId: string | undefined): boolean => {
    if (isSynchronous() || !isBehind(candidate, acknowledged.lastSeen())) return false;
    const sinceMs = state.evacuatedSinceMs ?? nowMs();
    const isWaiting = nowMs() < sinceMs + EVACUATED_CATCH_UP_TIMEOUT_MS;
    if (isWaiting) logBlocked(oldPrimaryId, { id: candidate.id, reason: 'candidateBehind' });
    else
      log.warn('primary.candidateBehind', { group, endpoint: candidate.id, before: oldPrimaryId });
    return isWaiting;
  };

  const logNoCandidate = (
    oldPrimaryId: string | undefined,
    reason: ReplacementReason,
    isPlanned: boolean,
  ): void => {
    if (reason === 'evacuating' || reason === 'evacuated') logBlocked(oldPrimaryId);
    if (isSynchronous()) {
      if (isPlanned && oldPrimaryId !== undefined) candidates.logCatchUp(oldPrimaryId);
    } else if (reason === 'lost' || reason === 'none' || reason === 'leaving') {
      log.warn('primary.replacing', { group, endpoint: oldPrimaryId, reason, planned: isPlanned });
      log.warn('primary.noCandidate', { group, endpoint: oldPrimaryId, reason });
    }
  };

  /** Whether the evacuation for which the primary was to be replaced has ended. */
  const isWithdrawn = (oldPrimaryId: string | undefined, reason: ReplacementReason): boolean =>
    (reason === 'evacuating' || reason === 'evacuated') &&
    oldPrimaryId !== undefined &&
    pools.get(oldPrimaryId)?.phase() === 'inService';

  const replacePrimary = async (
    oldPrimaryId: string | undefined,
    reason: ReplacementReason,
  ): Promise<void> => {
    const isPlanned = reason === 'leaving' || reason === 'evacuating';
    const seenBefore = acknowledged.lastSeen();
    let candidate = await findCandidate(oldPrimaryId, isPlanned);
    if (!candidate) {
      logNoCandidate(oldPrimaryId, reason, isPlanned);
      return;
    }
    if (reason === 'evacuating' && isBehind(candidate, missedPosition)) return;
    if (reason === 'evacuated' && waitsInLastPhase(candidate, oldPrimaryId)) return;
    log.warn('primary.replacing', { group, endpoint: oldPrimaryId, reason, planned: isPlanned });
    if (isPlanned && oldPrimaryId !== undefined)
      candidate = await awaitCandidate(candidate, oldPrimaryId, reason);
    if (!candidate) return;
    // Another data centre may have been evacuated since the candidate was chosen.
    if (isWithdrawn(oldPrimaryId, reason) || pools.get(candidate.id)?.phase() !== 'inService') {
      log.info('primary.replacementDropped', { group, endpoint: oldPrimaryId, reason });
      return;
    }
    const fence = createFence(options.getRecordedPrimary().fence, options.storeEra());
    // The new primary's term is above all that were seen. The recorded term is only a lower bound,
    // since the promotion that it was recorded for may not have run.
    const seenTerm = Math.max(state.highestSeenTerm, candidate.status.term);
    const term = Math.max(seenTerm + 1, options.getRecordedPrimary().term);
    if (state.isClosed || !(await options.record({ primary: candidate.id, term, fence }))) return;
    if (state.isClosed) return;
    const oldPrimaryTerm = state.term;
    state.id = undefined;
    state.isReplacing = true;
    if (oldPrimaryId !== undefined) pools.get(oldPrimaryId)?.closeAll();
    // Nothing more is acknowledged from here on.
    if (lacksAcknowledged(candidate, seenBefore)) {
      log.warn('primary.candidateBehind', { group, endpoint: candidate.id, before: oldPrimaryId });
      if (oldPrimaryId !== undefined)
        await promotion.recordTerm({ primary: oldPrimaryId, term: oldPrimaryTerm });
      return;
    }
    if (reason === 'evacuating' && !isSynchronous()) await awaitReceived(candidate, oldPrimaryId);
    await promotion.promote(
      candidate,
      { id: oldPrimaryId, term: oldPrimaryTerm },
      { fence, term, reason },
    );
  };

  return { replacePrimary };
};

export default createReplacement;
