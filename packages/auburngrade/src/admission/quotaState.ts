import type { RateLimit, QuotaConsumer, QuotaAllocator } from '@auburngrade/coordination';

/**
 * State of one quota on this VM, as its allocator (`keeper`, as in the stored record), which divides
 * the rate into units, or as a consumer, which uses units granted to it; never as both.
 */
interface QuotaState {
  name: string;
  limit: RateLimit;
  consumer: QuotaConsumer | undefined;
  keeper: QuotaAllocator | undefined;
  /** Epoch that this VM last tried to claim, and the VMs that may hold units of earlier epochs. */
  claim:
    | {
        epoch: number;
        unreportedVms: Set<string>;
        /** Generation of this VM's lease at the first attempt; the claim is void under another. */
        leaseGeneration: number;
      }
    | undefined;
  /** Epoch in which this VM lost the allocator role because its lease expired. */
  lostEpoch: number;
  /** Whether this VM is transferring the allocator role and no longer acts as the allocator. */
  isTransferring: boolean;
  /** Epoch in which unregistered VMs have been removed from the record. */
  prunedEpoch: number;
  /** Attempt in progress to prove that the allocator's lease has expired and to claim the quota. */
  pendingReplacement: Promise<void> | undefined;
  /** Time of the configuration store's last confirmation that this VM is the allocator. */
  authorityConfirmedAtMs: number;
  /** Number of requests that wait for a token. */
  waiting: number;
  pendingTokenRequest: Promise<boolean> | undefined;
  tokenRequestSentAtMs: number;
  /** Whether all VMs asked by the last token request answered. */
  isLastRequestAnswered: boolean;
  nextTokenRequestAtMs: number;
  /** Report to the allocator that is in progress. */
  pendingReport: Promise<boolean> | undefined;
  tokenRequestBackoffMs: number;
  nextClaimAtMs: number;
  nextConfirmationAtMs: number;
  nextCollectionAtMs: number;
  /** Whether units will be released once the report in progress is answered. */
  isReleaseScheduled: boolean;
  lastReportAtMs: number;
  lastDemandPerS: number;
  isReportDue: boolean;
  unreachableSinceMs: number | undefined;
  /** Per VM that did not answer a recall: the time before which no recall is sent to it. */
  skipRecallUntilMs: Map<string, number>;
}

export default QuotaState;
