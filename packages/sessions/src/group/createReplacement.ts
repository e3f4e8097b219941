import { comparePositions, createFence, type LogPosition } from '@auburngrade/coordination';
import sleep from '../time/sleep';
import type createAcknowledgedPosition from './createAcknowledgedPosition';
import createCandidateSearch from './createCandidateSearch';
import createPromotion from './createPromotion';
import type PrimaryManagerOptions from './primaryManagerOptions';
import type PrimaryState from './primaryState';
import type ProbeReply from './probeReply';

/** How long open work at a leaving primary may continue before the primary is replaced. */
const PLANNED_DRAIN_TIMEOUT_MS = 1_000;
/** How long a planned replacement waits for a replica to catch up before it proceeds anyway. */
const CATCH_UP_TIMEOUT_MS = 1_000;
const CATCH_UP_POLL_MS = 30;

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
      state.isReplacing = true;
      await awaitOpenWork(oldPrimaryId);
      const [oldPrimary] = await options.probe([oldPrimaryId]);
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
        await sleep(CATCH_UP_POLL_MS);
        candidate = await findCandidate(oldPrimaryId, isPlanned);
      }
    }
    if (!candidate) return;
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
    await promotion.promote(
      candidate,
      { id: oldPrimaryId, term: oldPrimaryTerm },
      { fence, term, reason },
    );
  };

  return { replacePrimary };
};

export default createReplacement;
