import type { ShareHolder, ShareKeeper } from '@auburngrade/coordination';
import answerWithin from '../time/answerWithin';
import sleep from '../time/sleep';
import type createShareExchange from './createShareExchange';
import type createShareRoles from './createShareRoles';
import type ShareState from './shareState';
import updateShareState from './updateShareState';

interface ShareTakingOptions {
  /** How long a request waits for tokens that the other VMs don't have now. */
  maxWaitMs: number;
  /** How long it waits while a VM that may have some does not answer. */
  maxSilentWaitMs: number;
  roles: ReturnType<typeof createShareRoles>;
  exchange: ReturnType<typeof createShareExchange>;
  nowMs(): number;
}

interface Shortage {
  code: 'rateExceeded' | 'shareUnavailable';
  retryAfterMs: number;
}

const MS_PER_S = 1_000;
/** Wait after asking for tokens in vain; doubles up to the maximum. */
const MIN_BACKOFF_MS = 20;
const MAX_BACKOFF_MS = 100;
/** VMs that have not answered after this time may be silent. */
const LATE_ANSWER_MS = 250;

/** Takes tokens for requests, and waits a short time for tokens of other VMs. */
const createShareTaking = (options: ShareTakingOptions) => {
  const { maxWaitMs, maxSilentWaitMs, roles, exchange, nowMs } = options;

  /** The bucket that this VM may take from now. */
  const bucketOf = (state: ShareState): ShareHolder | ShareKeeper | undefined => {
    roles.refresh(state);
    if (state.keeper) return roles.hasAuthority(state) ? state.keeper : undefined;
    return state.holder;
  };

  /** Resolves with whether the other VMs that matter answered. */
  const gatherOnce = async (state: ShareState): Promise<boolean> => {
    await exchange.claimIfOrphaned(state);
    if (!state.keeper) return exchange.sync(state, true);
    return exchange.recall(state);
  };

  const nextBackoffMs = (state: ShareState): number =>
    Math.min(MAX_BACKOFF_MS, Math.max(MIN_BACKOFF_MS, state.gatherBackoffMs * 2));

  /** Asks other VMs for tokens; resolves with whether a token is here now. */
  const gather = (state: ShareState): Promise<boolean> => {
    if (state.gathering) return state.gathering;
    if (nowMs() < state.gatherAfterMs) return Promise.resolve(false);
    const gathering = gatherOnce(state)
      .then((isAnswered) => {
        const hasToken = bucketOf(state)?.tokenDueInMs(nowMs()) === 0;
        const gatherBackoffMs = hasToken ? 0 : nextBackoffMs(state);
        const gatherAfterMs = nowMs() + gatherBackoffMs;
        updateShareState(state, { isAnswered, gatherBackoffMs, gatherAfterMs });
        return hasToken;
      })
      .finally(() => {
        updateShareState(state, { gathering: undefined });
      });
    updateShareState(state, { gathering, gatheringSinceMs: nowMs() });
    return gathering;
  };

  /** When to look again after other VMs had no token to give. */
  const retryDelayMs = (state: ShareState): number => {
    // Without an answer the keeper may be about to start or to change.
    if (!state.isAnswered) return MIN_BACKOFF_MS;
    const dueInMs = bucketOf(state)?.tokenDueInMs(nowMs()) ?? Number.POSITIVE_INFINITY;
    return Math.max(1, dueInMs) * state.waiting;
  };

  /** Whether the whole limit could serve all that wait here within the longest wait. */
  const mayBeServed = (state: ShareState): boolean =>
    state.waiting <= (state.limit.ratePerS * maxWaitMs) / MS_PER_S;

  /** Whether a VM that may have tokens has not answered the last attempt, or not for long. */
  const isSilent = (state: ShareState): boolean =>
    !state.isAnswered ||
    (state.gathering !== undefined && nowMs() - state.gatheringSinceMs >= LATE_ANSWER_MS);

  /** A silent VM is waited for by no more requests than the whole limit could serve soon. */
  const waitMs = (state: ShareState): number =>
    isSilent(state) && mayBeServed(state) ? Math.max(maxWaitMs, maxSilentWaitMs) : maxWaitMs;

  const takeOrWait = async (state: ShareState, deadlineAtMs: number): Promise<boolean> => {
    const startedAtMs = nowMs();
    const waitEndsAtMs = (): number => Math.min(deadlineAtMs, startedAtMs + waitMs(state));
    while (nowMs() < waitEndsAtMs()) {
      if (bucketOf(state)?.take(nowMs())) return true;
      const hasToken = await answerWithin(waitEndsAtMs() - nowMs(), gather(state));
      const delayMs = hasToken ? 0 : retryDelayMs(state);
      if (nowMs() + delayMs > waitEndsAtMs() && !mayBeServed(state)) break;
      if (delayMs > 0) await sleep(Math.min(delayMs, MIN_BACKOFF_MS));
    }
    return bucketOf(state)?.take(nowMs()) ?? false;
  };

  const shortageOf = (state: ShareState): Shortage => {
    const bucket = bucketOf(state);
    const atWholeRateMs = Math.ceil(MS_PER_S / state.limit.ratePerS);
    const retryAfterMs = Math.max(1, bucket?.tokenDueInMs(nowMs()) ?? atWholeRateMs);
    const isKnown = bucket !== undefined && !isSilent(state);
    return { code: isKnown ? 'rateExceeded' : 'shareUnavailable', retryAfterMs };
  };

  return {
    /** Takes one token; resolves with undefined when it was there. */
    take: async (state: ShareState, deadlineAtMs: number): Promise<Shortage | undefined> => {
      roles.refresh(state);
      (state.keeper ?? state.holder)?.count(nowMs());
      updateShareState(state, { waiting: state.waiting + 1 });
      try {
        return (await takeOrWait(state, deadlineAtMs)) ? undefined : shortageOf(state);
      } finally {
        updateShareState(state, { waiting: state.waiting - 1 });
      }
    },
    putBack: (state: ShareState): void => {
      bucketOf(state)?.putBack(nowMs());
    },
  };
};

export default createShareTaking;
