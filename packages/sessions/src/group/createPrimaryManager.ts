import createAcknowledgedPosition from './createAcknowledgedPosition';
import createReplacement from './createReplacement';
import type GroupRecord from './groupRecord';
import type MemberPool from './memberPool';
import type PrimaryManagerOptions from './primaryManagerOptions';
import type PrimaryState from './primaryState';
import type ProbeReply from './probeReply';
import type ReplacementReason from './replacementReason';

/** Interval between two checks of the primary. */
const CHECK_INTERVAL_MS = 100;
/** Delay before a replica is promoted when no endpoint is primary: a starting one may still be. */
const NO_PRIMARY_GRACE_MS = 600;

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

/** Why a primary is to be replaced; undefined if it is not. */
const findReplacementReason = (pool: MemberPool): ReplacementReason | undefined => {
  if (pool.isDown()) return 'lost';
  const phase = pool.phase();
  if (phase !== 'inService') return phase;
  return pool.endpoint().isLeaving ? 'leaving' : undefined;
};

/** Tracks a group's primary, and promotes a replica when the primary is down or leaving. */
const createPrimaryManager = (options: PrimaryManagerOptions) => {
  const { group, pools, log, nowMs } = options;
  const state: PrimaryState = {
    id: undefined,
    tenure: undefined,
    term: 0,
    highestSeenTerm: 0,
    isReplacing: false,
    isReplacementBlocked: false,
    evacuatedSinceMs: undefined,
    isClosed: false,
  };
  /** Whether a replacement runs, from the search for a candidate to its end. */
  let isReplacementRunning = false;
  let isChecking = false;
  /** Whether a check was asked for while one was under way, which may have read an earlier state. */
  let isCheckDue = false;
  let noPrimarySinceMs: number | undefined;
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
    Object.assign(state, { id, tenure, term: status.term });
    state.highestSeenTerm = Math.max(state.highestSeenTerm, status.term);
    noPrimarySinceMs = undefined;
    state.isReplacementBlocked = false;
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

  const replacement = createReplacement({
    ...options,
    state,
    acknowledged,
    probe: probeEndpoints,
    acceptPrimary,
  });
  const findExpectedPrimary = (): string | undefined => {
    const { primary: recorded } = options.getRecordedPrimary();
    if (recorded !== '') return recorded;
    return [...pools].find(([, pool]) => pool.endpoint().isRegisteredAsPrimary)?.[0];
  };
  /** The primary, or the one to be expected if none is known, if nothing may be sent to it. */
  const findEvacuatedPrimary = (): string | undefined => {
    const expected = state.id ?? findExpectedPrimary();
    const pool = expected === undefined ? undefined : pools.get(expected);
    return pool?.use().isContacted === false ? expected : undefined;
  };

  const runReplacement = async (
    ...parameters: Parameters<typeof replacement.replacePrimary>
  ): Promise<void> => {
    isReplacementRunning = true;
    try {
      await replacement.replacePrimary(...parameters);
    } finally {
      isReplacementRunning = false;
      state.isReplacementBlocked = findEvacuatedPrimary() !== undefined;
    }
  };

  /** Accepts the endpoint that reports itself as primary with the highest term, or promotes one. */
  const findPrimary = async (): Promise<void> => {
    const recorded = options.getRecordedPrimary();
    const reachable = [...pools].filter(([, pool]) => !pool.isDown() && pool.use().isContacted);
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
      await runReplacement(undefined, findEvacuatedPrimary() === undefined ? 'none' : 'evacuated');
  };

  /** Whether the primary was found in the present tenure, or in the last one of a server that is drained. */
  const isPrimaryOfTenure = (): boolean => state.isClosed || options.findTenure() === state.tenure;

  const isContacted = (id: string | undefined): boolean =>
    id === undefined || pools.get(id)?.use().isContacted !== false;

  const checkPrimary = async (): Promise<void> => {
    if (state.id !== undefined && !isPrimaryOfTenure()) {
      log.warn('primary.doubted', {
        group,
        endpoint: state.id,
        reason: 'another owner in between',
      });
      state.id = undefined;
      options.onChange();
    }
    const pool = state.id === undefined ? undefined : pools.get(state.id);
    if (state.id !== undefined && !pool) {
      log.warn('primary.gone', { group, endpoint: state.id });
      state.id = undefined;
    }
    if (findEvacuatedPrimary() === undefined) state.evacuatedSinceMs = undefined;
    else state.evacuatedSinceMs ??= nowMs();
    if (pool && state.id !== undefined) {
      const reason = findReplacementReason(pool);
      if (reason && options.canReplacePrimary()) await runReplacement(state.id, reason);
    } else {
      await findPrimary();
    }
  };

  const runCheck = (): void => {
    pools.forEach((pool) => {
      pool.probeIfOverdue();
      pool.closeExcessIdle();
    });
    if (isChecking || state.isClosed) return;
    isChecking = true;
    checkPrimary()
      .catch((error) => log.warn('primary.checkFailed', { group, reason: String(error) }))
      .finally(() => {
        isChecking = false;
        if (isCheckDue) setImmediate(runCheck);
        isCheckDue = false;
        if (state.isReplacing) {
          state.isReplacing = false;
          options.onChange();
        }
      });
  };
  const checkNow = (): void => {
    isCheckDue = isChecking;
    runCheck();
  };
  const timer = setInterval(runCheck, CHECK_INTERVAL_MS);
  runCheck();

  return {
    /** Runs a check at once, for example after endpoints were added. */
    checkNow,
    /** The primary for new statements; undefined when unknown or while it is being replaced. */
    getAvailablePrimary: (): string | undefined =>
      state.isReplacing || !isPrimaryOfTenure() || !isContacted(state.id) ? undefined : state.id,
    /** The primary even while it is being replaced, for transactions that are open there. */
    getKnownPrimary: (): string | undefined => (isPrimaryOfTenure() ? state.id : undefined),
    isPrimaryOfTenure,
    /** Call with each position that the known primary replies. */
    notePrimaryPosition: acknowledged.record,
    /** In which tenure the known primary was found. */
    primaryTenure: (): string | undefined => state.tenure,
    isReplacing: (): boolean => isReplacementRunning,
    /** Call when evacuations have changed: what they ask for starts at once. */
    noteEvacuationsChanged: (): void => {
      state.isReplacementBlocked = false;
      checkNow();
    },
    /** Whether nothing may be sent to the primary, or to the one to be expected if none is known. */
    isPrimaryEvacuated: (): boolean => findEvacuatedPrimary() !== undefined,
    /** Whether the last attempt to replace an evacuated primary failed or waits for a replica. */
    isReplacementBlocked: (): boolean => state.isReplacementBlocked,
    /** Forgets a primary that reported to be read-only; the next check searches again. */
    invalidatePrimary: (id: string): void => {
      if (state.id !== id) return;
      log.warn('primary.doubted', { group, endpoint: id, reason: 'read-only' });
      state.id = undefined;
    },
    close: (): void => {
      state.isClosed = true;
      clearInterval(timer);
    },
  };
};

export default createPrimaryManager;
