import type { RateLimit } from '@auburngrade/coordination';
import type ShareState from './shareState';

/** Creates the initial state of a share, with no role on this VM. */
const createShareState = (name: string, limit: RateLimit): ShareState => ({
  name,
  limit,
  holder: undefined,
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
  pendingSync: undefined,
  tokenRequestBackoffMs: 0,
  nextClaimAtMs: 0,
  nextConfirmationAtMs: 0,
  nextCollectionAtMs: 0,
  isReleaseScheduled: false,
  lastSyncAtMs: Number.NEGATIVE_INFINITY,
  lastDemandPerS: 0,
  isSyncDue: false,
  unreachableSinceMs: undefined,
  skipRecallUntilMs: new Map(),
});

export default createShareState;
