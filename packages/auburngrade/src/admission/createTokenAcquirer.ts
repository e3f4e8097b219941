import type { QuotaConsumer, QuotaAllocator } from '@auburngrade/coordination';
import resolveWithin from '../time/resolveWithin';
import sleep from '../time/sleep';
import type createQuotaProtocol from './createQuotaProtocol';
import type createQuotaRoles from './createQuotaRoles';
import type QuotaState from './quotaState';
import updateQuotaState from './updateQuotaState';

interface TokenAcquirerOptions {
  /** Longest wait of a request for tokens when all VMs asked have answered. */
  maxWaitMs: number;
  /** Longest wait of a request while a VM that may have tokens does not answer. */
  maxSilentWaitMs: number;
  roles: ReturnType<typeof createQuotaRoles>;
  protocol: ReturnType<typeof createQuotaProtocol>;
  nowMs(): number;
}

interface Shortage {
  code: 'rateExceeded' | 'shareUnavailable';
  retryAfterMs: number;
}

const MS_PER_S = 1_000;
/** Back-off after a token request without result; doubles up to the maximum. */
const MIN_BACKOFF_MS = 20;
const MAX_BACKOFF_MS = 100;
/** VMs that have not answered after this time count as unresponsive. */
const LATE_ANSWER_MS = 250;

/** Creates the function that takes tokens for requests and waits briefly for tokens of other VMs. */
const createTokenAcquirer = (options: TokenAcquirerOptions) => {
  const { maxWaitMs, maxSilentWaitMs, roles, protocol, nowMs } = options;

  /** Returns the bucket that this VM may take tokens from now. */
  const findUsableBucket = (state: QuotaState): QuotaConsumer | QuotaAllocator | undefined => {
    roles.refresh(state);
    if (state.keeper) return roles.hasAuthority(state) ? state.keeper : undefined;
    return state.consumer;
  };

  /** Resolves with whether all VMs asked answered. */
  const sendTokenRequest = async (state: QuotaState): Promise<boolean> => {
    await protocol.claimIfOrphaned(state);
    if (!state.keeper) return protocol.reportInTurn(state, true);
    return protocol.recall(state);
  };

  const computeBackoffMs = (state: QuotaState): number =>
    Math.min(MAX_BACKOFF_MS, Math.max(MIN_BACKOFF_MS, state.tokenRequestBackoffMs * 2));

  /** Asks other VMs for tokens; resolves with whether a token is available here now. */
  const requestTokens = (state: QuotaState): Promise<boolean> => {
    if (state.pendingTokenRequest) return state.pendingTokenRequest;
    if (nowMs() < state.nextTokenRequestAtMs) return Promise.resolve(false);
    const pendingTokenRequest = sendTokenRequest(state)
      .then((isLastRequestAnswered) => {
        const hasToken = findUsableBucket(state)?.tokenDueInMs(nowMs()) === 0;
        const tokenRequestBackoffMs = hasToken ? 0 : computeBackoffMs(state);
        const nextTokenRequestAtMs = nowMs() + tokenRequestBackoffMs;
        updateQuotaState(state, {
          isLastRequestAnswered,
          tokenRequestBackoffMs,
          nextTokenRequestAtMs,
        });
        return hasToken;
      })
      .finally(() => {
        updateQuotaState(state, { pendingTokenRequest: undefined });
      });
    updateQuotaState(state, { pendingTokenRequest, tokenRequestSentAtMs: nowMs() });
    return pendingTokenRequest;
  };

  /** Delay until the next attempt after other VMs had no tokens. */
  const computeRetryDelayMs = (state: QuotaState): number => {
    // No answer: the allocator may be starting or being replaced, so retry soon.
    if (!state.isLastRequestAnswered) return MIN_BACKOFF_MS;
    const dueInMs = findUsableBucket(state)?.tokenDueInMs(nowMs()) ?? Number.POSITIVE_INFINITY;
    return Math.max(1, dueInMs) * state.waiting;
  };

  /** Whether the account's whole rate could serve all requests waiting here within `maxWaitMs`. */
  const canServeWaitingRequests = (state: QuotaState): boolean =>
    state.waiting <= (state.limit.ratePerS * maxWaitMs) / MS_PER_S;

  /** Whether a VM that may have tokens did not answer the last token request or is late. */
  const isAnswerMissing = (state: QuotaState): boolean =>
    !state.isLastRequestAnswered ||
    (state.pendingTokenRequest !== undefined &&
      nowMs() - state.tokenRequestSentAtMs >= LATE_ANSWER_MS);

  /** No more requests wait for an unresponsive VM than the whole rate could serve in `maxWaitMs`. */
  const computeMaxWaitMs = (state: QuotaState): number =>
    isAnswerMissing(state) && canServeWaitingRequests(state)
      ? Math.max(maxWaitMs, maxSilentWaitMs)
      : maxWaitMs;

  const takeOrWait = async (state: QuotaState, deadlineAtMs: number): Promise<boolean> => {
    const startedAtMs = nowMs();
    const waitEndsAtMs = (): number =>
      Math.min(deadlineAtMs, startedAtMs + computeMaxWaitMs(state));
    while (nowMs() < waitEndsAtMs()) {
      if (findUsableBucket(state)?.take(nowMs())) return true;
      const hasToken = await resolveWithin(waitEndsAtMs() - nowMs(), requestTokens(state));
      const delayMs = hasToken ? 0 : computeRetryDelayMs(state);
      if (nowMs() + delayMs > waitEndsAtMs() && !canServeWaitingRequests(state)) break;
      if (delayMs > 0) await sleep(Math.min(delayMs, MIN_BACKOFF_MS));
    }
    return findUsableBucket(state)?.take(nowMs()) ?? false;
  };

  const describeShortage = (state: QuotaState): Shortage => {
    const bucket = findUsableBucket(state);
    const tokenIntervalMs = Math.ceil(MS_PER_S / state.limit.ratePerS);
    const retryAfterMs = Math.max(1, bucket?.tokenDueInMs(nowMs()) ?? tokenIntervalMs);
    const isBalanceKnown = bucket !== undefined && !isAnswerMissing(state);
    return { code: isBalanceKnown ? 'rateExceeded' : 'shareUnavailable', retryAfterMs };
  };

  return {
    /** Takes one token; resolves with undefined on success. */
    take: async (state: QuotaState, deadlineAtMs: number): Promise<Shortage | undefined> => {
      roles.refresh(state);
      (state.keeper ?? state.consumer)?.count(nowMs());
      updateQuotaState(state, { waiting: state.waiting + 1 });
      try {
        return (await takeOrWait(state, deadlineAtMs)) ? undefined : describeShortage(state);
      } finally {
        updateQuotaState(state, { waiting: state.waiting - 1 });
      }
    },
    refundToken: (state: QuotaState): void => {
      findUsableBucket(state)?.refundToken(nowMs());
    },
  };
};

export default createTokenAcquirer;
