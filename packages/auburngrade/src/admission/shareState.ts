import type { RateLimit, ShareHolder, ShareKeeper } from '@auburngrade/coordination';

/**
 * State of one share on this VM. The share's keeper owns the ledger that divides the rate into
 * units; the holders spend units granted by the keeper. This VM has one role, never both.
 */
interface ShareState {
  name: string;
  limit: RateLimit;
  holder: ShareHolder | undefined;
  keeper: ShareKeeper | undefined;
  /** Epoch that this VM last tried to claim, and the VMs that may hold units of earlier epochs. */
  claim: { epoch: number; unreported: Set<string> } | undefined;
  /** Epoch in which this VM lost the keeper role because its lease lapsed. */
  lostEpoch: number;
  /** Whether this VM is transferring the keeper role and has stopped acting as the keeper. */
  isTransferring: boolean;
  /** Epoch in which VMs that left the fleet have been removed from the record. */
  prunedEpoch: number;
  /** Attempt in progress to prove that the keeper's lease has lapsed and to claim the share. */
  pendingReplacement: Promise<void> | undefined;
  /** Time of the platform's last confirmation that this VM is the keeper. */
  authorityConfirmedAtMs: number;
  /** Number of requests that wait for a token. */
  waiting: number;
  pendingTokenRequest: Promise<boolean> | undefined;
  tokenRequestSentAtMs: number;
  /** Whether all VMs asked by the last token request answered. */
  isLastRequestAnswered: boolean;
  nextTokenRequestAtMs: number;
  /** Report to the keeper that is in progress. */
  pendingSync: Promise<boolean> | undefined;
  tokenRequestBackoffMs: number;
  nextClaimAtMs: number;
  nextConfirmationAtMs: number;
  nextCollectionAtMs: number;
  /** Whether units will be released once the report in progress is answered. */
  isReleaseScheduled: boolean;
  lastSyncAtMs: number;
  lastDemandPerS: number;
  isSyncDue: boolean;
  unreachableSinceMs: number | undefined;
  /** Per VM that did not answer a recall: the time before which no recall is sent to it. */
  skipRecallUntilMs: Map<string, number>;
}

export default ShareState;
