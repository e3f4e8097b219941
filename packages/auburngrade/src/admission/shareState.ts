import type { RateLimit, ShareHolder, ShareKeeper } from '@auburngrade/coordination';

/** What a VM knows of one share: it is the keeper's or a holder's, never both. */
interface ShareState {
  name: string;
  limit: RateLimit;
  holder: ShareHolder | undefined;
  keeper: ShareKeeper | undefined;
  /** The epoch that this VM has tried to claim, and who may hold units of earlier ones. */
  claim: { epoch: number; unreported: Set<string> } | undefined;
  /** The epoch in which this VM was the keeper until its lease lapsed. */
  lostEpoch: number;
  /** Whether this VM names another keeper and so acts as one no more. */
  isPassing: boolean;
  /** The epoch whose record names no VM any more that left long ago. */
  prunedEpoch: number;
  /** Tries to show that the present keeper's lease has lapsed. */
  replacing: Promise<void> | undefined;
  /** Last confirmation by the platform that this VM is the keeper. */
  authorityAtMs: number;
  waiting: number;
  gathering: Promise<boolean> | undefined;
  gatheringSinceMs: number;
  /** Whether the last attempt to gather tokens was answered by the keeper. */
  isAnswered: boolean;
  gatherAfterMs: number;
  /** The report under way. */
  syncing: Promise<boolean> | undefined;
  gatherBackoffMs: number;
  claimAfterMs: number;
  confirmAfterMs: number;
  collectAfterMs: number;
  /** Whether units are to be given back once the report under way is answered. */
  isGivingBack: boolean;
  lastSyncAtMs: number;
  lastDemandPerS: number;
  isSyncDue: boolean;
  unreachableSinceMs: number | undefined;
  /** VMs that did not answer a recall, and until when they are not asked again. */
  silentUntilMs: Map<string, number>;
}

export default ShareState;
