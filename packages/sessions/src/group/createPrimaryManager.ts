import { comparePositions, createFence, type LogPosition } from '@auburngrade/coordination';
import type EventLog from '../seams/eventLog';
import type FailoverClient from '../seams/failoverClient';
import type EndpointStatus from '../seams/memberStatus';
import type GroupRecord from './groupRecord';
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
  /** Counts open transactions and in-flight statements at an endpoint. */
  countOpenWork(endpointId: string): number;
  onPrimaryFound(endpointId: string, position: LogPosition, askedAtMs: number): void;
  onChange(): void;
  controlAccount(): string;
}

interface ProbeReply {
  id: string;
  askedAtMs: number;
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
  let isReplacing = false;
  /** Whether a replacement runs, from the search for a candidate to its end. */
  let isReplacementRunning = false;
  let isChecking = false;
  let isClosed = false;
  let noPrimarySinceMs: number | undefined;
  let highestSeenTerm = 0;

  const probeEndpoints = async (ids: readonly string[]): Promise<ProbeReply[]> => {
    const replies = await Promise.all(
      ids.map(async (id) => ({ id, askedAtMs: nowMs(), status: await pools.get(id)?.probe() })),
    );
    return replies.flatMap(({ id, askedAtMs, status }) =>
      status ? [{ id, askedAtMs, status }] : [],
    );
  };

  const acceptPrimary = ({ id, askedAtMs, status }: ProbeReply): void => {
    primary = id;
    primaryTenure = options.findTenure();
    highestSeenTerm = Math.max(highestSeenTerm, status.term);
    noPrimarySinceMs = undefined;
    log.info('primary.believed', { group, endpoint: id, term: status.term });
    options.onPrimaryFound(id, status.receivedPosition, askedAtMs);
    options.onChange();
  };

  /** Waits until work at the leaving primary has ended, at most for the drain timeout. */
  const awaitOpenWork = async (leavingId: string): Promise<void> => {
    const untilMs = nowMs() + PLANNED_DRAIN_TIMEOUT_MS;
    while (options.countOpenWork(leavingId) > 0 && nowMs() < untilMs)
      await sleep(PROMOTION_POLL_MS / 2);
  };

  const findMostCurrentReplica = async (excludedId: string | undefined) => {
    const ids = [...pools]
      .filter(([id, pool]) => id !== excludedId && !pool.isDown() && !pool.endpoint().isLeaving)
      .map(([id]) => id);
    const replies = await probeEndpoints(ids);
    return replies.sort((a, b) =>
      comparePositions(b.status.receivedPosition, a.status.receivedPosition),
    )[0];
  };

  /** Waits until the endpoint leads the recorded term; resolves with the last reply if it leads an earlier one. */
  const awaitPromotion = async (id: string, minTerm: number): Promise<ProbeReply | undefined> => {
    const untilMs = nowMs() + PROMOTION_TIMEOUT_MS;
    let leading: ProbeReply | undefined;
    while (!isClosed && nowMs() < untilMs) {
      const [reply] = await probeEndpoints([id]);
      leading = reply?.status.isPrimary ? reply : undefined;
      if (leading && leading.status.term >= minTerm) return leading;
      await sleep(PROMOTION_POLL_MS);
    }
    return leading;
  };

  /**
   * Believes the promoted endpoint. One that leads no new term by now was the primary all along: an earlier
   * promotion was recorded, but did not run. Its own term is recorded then, for the next owner to accept.
   */
  const acceptPromoted = async (
    reply: ProbeReply,
    recorded: Pick<GroupRecord, 'term' | 'fence'>,
  ): Promise<void> => {
    const { term } = reply.status;
    const isUnchanged = term < recorded.term;
    if (isUnchanged) {
      log.warn('primary.unchanged', {
        group,
        endpoint: reply.id,
        term,
        recordedTerm: recorded.term,
      });
      const next = { primary: reply.id, term, fence: recorded.fence };
      if (isClosed || !(await options.record(next))) return;
    }
    if (!isClosed) acceptPrimary(reply);
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

  const replacePrimary = async (
    oldPrimaryId: string | undefined,
    reason: string,
  ): Promise<void> => {
    const isPlanned = reason === 'leaving';
    log.warn('primary.replacing', { group, endpoint: oldPrimaryId, reason, planned: isPlanned });
    let candidate = await findMostCurrentReplica(oldPrimaryId);
    if (!candidate) {
      log.warn('primary.noCandidate', { group, endpoint: oldPrimaryId, reason });
      return;
    }
    if (isPlanned && oldPrimaryId !== undefined) {
      isReplacing = true;
      await awaitOpenWork(oldPrimaryId);
      const [oldPrimary] = await probeEndpoints([oldPrimaryId]);
      const untilMs = nowMs() + CATCH_UP_TIMEOUT_MS;
      while (
        oldPrimary &&
        candidate &&
        comparePositions(candidate.status.receivedPosition, oldPrimary.status.receivedPosition) <
          0 &&
        nowMs() < untilMs
      ) {
        await sleep(PROMOTION_POLL_MS / 2);
        candidate = await findMostCurrentReplica(oldPrimaryId);
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
    primary = undefined;
    isReplacing = true;
    if (oldPrimaryId !== undefined) pools.get(oldPrimaryId)?.closeAll();
    const call = { group, endpoint: candidate.id, before: oldPrimaryId, fence, term, reason };
    log.info('primary.promoting', call);
    const calledAtMs = nowMs();
    const outcome = await options.failover.promote(
      group,
      candidate.id,
      options.ownerVm,
      fence,
      () => mayStillSend(call),
    );
    const tookMs = Math.round(nowMs() - calledAtMs);
    log.warn('primary.promoted', { ...call, outcome, tookMs });
    if (outcome !== 'accepted' && outcome !== 'mayHaveRun') return;
    const promoted = await awaitPromotion(candidate.id, term);
    // A call that may not have run says nothing of an endpoint that leads no new term.
    if (!promoted || (outcome === 'mayHaveRun' && promoted.status.term < term)) return;
    await acceptPromoted(promoted, { term, fence });
    if (oldPrimaryId !== undefined) demotePrimary(oldPrimaryId, candidate.status.term + 1);
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
