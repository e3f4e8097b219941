import sleep from '../time/sleep';
import type GroupRecord from './groupRecord';
import type PrimaryManagerOptions from './primaryManagerOptions';
import type PrimaryState from './primaryState';
import type ProbeReply from './probeReply';

/** A promotion takes effect within a few hundred ms of the call. */
const PROMOTION_TIMEOUT_MS = 3_000;
const PROMOTION_POLL_MS = 60;
/** An endpoint that led before its promotion and leads no new term by now was the primary already. */
const PROMOTION_EFFECT_MS = 2_000;
/** Timeout of the command that tells a former primary of its successor. */
const DEMOTE_TIMEOUT_MS = 600;

interface PromotionOptions extends PrimaryManagerOptions {
  state: Readonly<PrimaryState>;
  probe(ids: readonly string[]): Promise<ProbeReply[]>;
  /** Believes an endpoint that leads, unless it was asked in an earlier tenure; returns whether it does. */
  acceptPrimary(reply: ProbeReply, isPromoted: boolean): boolean;
}

/** Makes a replica the primary, and sees to it that the record says so. */
const createPromotion = (options: PromotionOptions) => {
  const { group, pools, state, log, nowMs } = options;

  /**
   * Waits until the candidate leads a new term. One that led before and still leads the same term after the time
   * that a promotion takes was the primary all along: an earlier promotion was recorded, but did not run.
   */
  const awaitPromotion = async (
    candidate: ProbeReply,
    isAccepted: boolean,
  ): Promise<ProbeReply | undefined> => {
    const startedAtMs = nowMs();
    while (!state.isClosed && nowMs() < startedAtMs + PROMOTION_TIMEOUT_MS) {
      const [reply] = await options.probe([candidate.id]);
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
    if (state.isClosed || (recorded === next.primary && term === next.term)) return;
    log.info('primary.termCorrected', { group, ...next, recorded, recordedTerm: term });
    await options.record({ ...next, fence });
  };

  const demotePrimary = async (id: string, term: number): Promise<void> => {
    const pool = pools.get(id);
    if (!pool || pool.isDown() || !pool.use().isContacted) return;
    try {
      const connection = await pool.acquire(options.controlAccount(), '');
      const timeoutTimer = setTimeout(() => pool.closeConnection(connection), DEMOTE_TIMEOUT_MS);
      await pool.send(connection, { kind: 'demote', term });
      clearTimeout(timeoutTimer);
      pool.closeConnection(connection);
    } catch (error) {
      log.info('primary.demoteFailed', { group, endpoint: id, reason: String(error) });
    }
  };

  /** Whether a call that is about to be sent still may be: connecting can outlast the right to it. */
  const mayStillSend = (call: { endpoint: string; fence: number }): boolean => {
    if (!state.isClosed && options.canReplacePrimary()) return true;
    const { endpoint, fence } = call;
    log.warn('primary.callWithdrawn', { group, endpoint, fence });
    return false;
  };

  /** Promotes a replica that is recorded as the next primary; records the former one again if that fails. */
  const promote = async (
    candidate: ProbeReply,
    former: { id: string | undefined; term: number },
    { fence, term, reason }: { fence: number; term: number; reason: string },
  ): Promise<void> => {
    const call = { group, endpoint: candidate.id, before: former.id, fence, term, reason };
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
      if (former.id !== undefined) await recordTerm({ primary: former.id, term: former.term });
      return;
    }
    const promoted = await awaitPromotion(candidate, outcome === 'accepted');
    if (!promoted || !options.acceptPrimary(promoted, true)) return;
    const { term: ledTerm } = promoted.status;
    if (former.id !== undefined) demotePrimary(former.id, ledTerm);
    recordTerm({ primary: promoted.id, term: ledTerm }).catch((error) =>
      log.warn('primary.termUnrecorded', { group, term: ledTerm, reason: String(error) }),
    );
  };

  return { promote, recordTerm };
};

export default createPromotion;
