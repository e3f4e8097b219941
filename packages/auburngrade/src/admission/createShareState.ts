import type { RateLimit } from '@auburngrade/coordination';
import type ShareState from './shareState';

/** Creates the state of a share that this VM knows nothing of yet. */
const createShareState = (name: string, limit: RateLimit): ShareState => ({
  name,
  limit,
  holder: undefined,
  keeper: undefined,
  claim: undefined,
  lostEpoch: 0,
  isPassing: false,
  prunedEpoch: 0,
  replacing: undefined,
  authorityAtMs: Number.NEGATIVE_INFINITY,
  waiting: 0,
  gathering: undefined,
  gatheringSinceMs: Number.NEGATIVE_INFINITY,
  isAnswered: false,
  gatherAfterMs: 0,
  syncing: undefined,
  gatherBackoffMs: 0,
  claimAfterMs: 0,
  confirmAfterMs: 0,
  collectAfterMs: 0,
  isGivingBack: false,
  lastSyncAtMs: Number.NEGATIVE_INFINITY,
  lastDemandPerS: 0,
  isSyncDue: false,
  unreachableSinceMs: undefined,
  silentUntilMs: new Map(),
});

export default createShareState;
