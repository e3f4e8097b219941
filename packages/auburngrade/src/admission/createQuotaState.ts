import type { RateLimit } from '@auburngrade/coordination';
import type QuotaState from './quotaState';

/** Creates the initial state of a quota, with no role on this VM. */
const createQuotaState = (name: string, limit: RateLimit): QuotaState => ({
  name,
  limit,
  consumer: undefined,
  keeper: undefined,
  claim: undefined,
  lostEpoch: 0,
  isTransferring: false,
  prunedEpoch: 0,
  pendingReplacement: undefined,
  authorityConfirmedAtMs: Number.NEGATIVE_INFINITY,
  waiting: 0,
  pendingTokenRequest: undefined,
  tokenRequestSentAtMs: Number.NEGATIVE_INFINITY,
  isLastRequestAnswered: false,
  nextTokenRequestAtMs: 0,
  pendingReport: undefined,
  tokenRequestBackoffMs: 0,
  nextClaimAtMs: 0,
  nextConfirmationAtMs: 0,
  nextCollectionAtMs: 0,
  isReleaseScheduled: false,
  lastReportAtMs: Number.NEGATIVE_INFINITY,
  lastDemandPerS: 0,
  isReportDue: false,
  unreachableSinceMs: undefined,
  skipRecallUntilMs: new Map(),
});

export default createQuotaState;
