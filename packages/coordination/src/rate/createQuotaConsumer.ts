import createDemandMeter from './createDemandMeter';
import createQuotaBucket from './createQuotaBucket';
import type RateLimit from './rateLimit';
import type QuotaGrant from './quotaGrant';
import type QuotaReport from './quotaReport';
import WHOLE_UNITS from './wholeUnits';
import type VmLease from '../witness/vmLease';

interface QuotaConsumerOptions {
  share: string;
  vm: string;
  incarnation: number;
  limit: RateLimit;
  leaseMs: number;
  /** The VM's lease; units may be used only while it is valid. */
  lease: VmLease;
  nowMs: number;
  /** Units that the VM retained as allocator of an earlier epoch. */
  initialUnits?: number;
  initialTokens?: number;
  /** When the initial units expire; `nowMs + leaseMs` by default. */
  leaseExpiresAtMs?: number;
}

/** Reported by a VM that has no lease yet and therefore holds no units. */
const EMPTY_LEASE = { term: 0, groups: [] };
/** On a recall, tokens for this much time at the current demand are retained. */
const RESERVED_DEMAND_S = 0.05;
/** On a recall, a consumer may retain at most this multiple of its fair share. */
const MAX_FAIR_SHARE_RATIO = 1.02;
/** Below this demand a consumer releases all units on a recall. */
const IDLE_DEMAND_PER_S = 0.1;

/**
 * Consumes the units of an account's quota that the allocator grants to this VM. Only the answer
 * to the newest report can add units, so the allocator always knows an upper bound. Tokens
 * in a lost message are lost and refill over time.
 */
const createQuotaConsumer = (options: QuotaConsumerOptions) => {
  const bucket = createQuotaBucket(options.limit, options.nowMs);
  const demand = createDemandMeter();
  bucket.addUnits(options.initialUnits ?? 0, options.initialTokens ?? 0, options.nowMs);
  let epoch = 0;
  let lastSequence = 0;
  let releasedTokens = 0;
  let sentAtMs = 0;
  let reportedDemandPerS = 0;
  let leaseExpiresAtMs = options.leaseExpiresAtMs ?? options.nowMs + options.leaseMs;
  let leaseGeneration = options.lease.currentGeneration(options.nowMs);

  const discardUnits = (nowMs: number): void => {
    bucket.removeUnits(bucket.units(), nowMs);
    releasedTokens = 0;
  };

  /** Discards units of an expired lease and invalidates grants in transit for that lease. */
  const discardExpired = (nowMs: number): void => {
    const currentGeneration = options.lease.currentGeneration(nowMs);
    if (currentGeneration !== leaseGeneration) {
      leaseGeneration = currentGeneration;
      lastSequence += 1;
      discardUnits(nowMs);
    }
    if (nowMs >= leaseExpiresAtMs) discardUnits(nowMs);
  };

  const lowerTo = (units: number, nowMs: number): void => {
    releasedTokens += bucket.removeUnits(bucket.units() - units, nowMs);
  };

  /** Units to retain on a recall, by current demand. */
  const unitsToKeep = (fairUnits: number, waitingRequests: number, nowMs: number): number => {
    const demandPerS = demand.ratePerS(nowMs);
    if (demandPerS < IDLE_DEMAND_PER_S) return 0;
    const tokens = bucket.tokens(nowMs);
    const surplus = tokens - demandPerS * RESERVED_DEMAND_S;
    // A fraction of a token admits no request, so it is released to a VM where a request waits.
    if (surplus < 1 && waitingRequests === 0 && fairUnits < WHOLE_UNITS) return 0;
    const releasableTokens = surplus >= 2 ? surplus / 2 : surplus;
    const unitsByTokens =
      surplus < 1 ? bucket.units() : bucket.units() * (1 - releasableTokens / tokens);
    const demandGrowthRatio = Math.max(
      1,
      demandPerS / Math.max(reportedDemandPerS, IDLE_DEMAND_PER_S),
    );
    return Math.floor(
      Math.min(unitsByTokens, fairUnits * demandGrowthRatio * MAX_FAIR_SHARE_RATIO),
    );
  };

  return {
    units: (nowMs: number): number => {
      discardExpired(nowMs);
      return bucket.units();
    },
    /** Whether the VM's lease is valid, so that it may hold units. */
    isStanding: (nowMs: number): boolean => options.lease.currentGeneration(nowMs) !== undefined,
    demandPerS: (nowMs: number) => demand.ratePerS(nowMs),
    setLimit: (limit: RateLimit, nowMs: number) => bucket.setLimit(limit, nowMs),
    count: (nowMs: number) => demand.count(nowMs),
    take: (nowMs: number): boolean => {
      discardExpired(nowMs);
      return bucket.take(nowMs);
    },
    refundToken: (nowMs: number): void => {
      discardExpired(nowMs);
      bucket.refundToken(nowMs);
    },
    tokenDueInMs: (nowMs: number) => bucket.tokenDueInMs(nowMs),
    /** Builds the next report and invalidates answers to earlier ones. Throws on an older epoch. */
    report: (allocatorEpoch: number, neededTokens: number, nowMs: number): QuotaReport => {
      discardExpired(nowMs);
      if (allocatorEpoch < epoch)
        throw new Error(
          `quota report for epoch ${allocatorEpoch} refused: already reported for epoch ${epoch}`,
        );
      if (allocatorEpoch > epoch) {
        epoch = allocatorEpoch;
        lastSequence = 0;
        releasedTokens = 0;
      }
      lastSequence += 1;
      sentAtMs = nowMs;
      reportedDemandPerS = demand.ratePerS(nowMs);
      const reportedTokens = releasedTokens;
      releasedTokens = 0;
      return {
        share: options.share,
        epoch,
        vm: options.vm,
        incarnation: options.incarnation,
        sequence: lastSequence,
        heldUnits: bucket.units(),
        lease: options.lease.record() ?? EMPTY_LEASE,
        releasedTokens: reportedTokens,
        demandPerS: reportedDemandPerS,
        neededTokens,
      };
    },
    /** Applies the allocator's answer if it belongs to the newest report. */
    applyGrant: (grant: QuotaGrant, nowMs: number): void => {
      if (grant.kind === 'refused') return;
      discardExpired(nowMs);
      if (leaseGeneration === undefined) return;
      if (grant.epoch !== epoch || grant.sequence !== lastSequence) return;
      // Counted from sending the report, so that it expires before the allocator's copy of it.
      leaseExpiresAtMs = Math.max(leaseExpiresAtMs, sentAtMs + options.leaseMs);
      if (nowMs >= leaseExpiresAtMs) return;
      lastSequence += 1;
      const addedUnits = grant.units - bucket.units();
      if (addedUnits < 0) {
        lowerTo(grant.units, nowMs);
        return;
      }
      // Restores the tokens that were released after the report, along with their units.
      bucket.addUnits(addedUnits, grant.tokens + releasedTokens, nowMs);
      releasedTokens = 0;
    },
    /**
     * Releases units that the current demand does not need and returns whether there were any.
     * Retains at most about `fairUnits`, the fair share by the reported demand, but enough for
     * one token while requests wait on this VM.
     */
    release: (nowMs: number, fairUnits: number = WHOLE_UNITS, waitingRequests = 0): boolean => {
      discardExpired(nowMs);
      if (bucket.units() === 0) return false;
      const unitsByDemand = unitsToKeep(fairUnits, waitingRequests, nowMs);
      const keptUnits =
        waitingRequests > 0 ? Math.max(unitsByDemand, bucket.minUnitsForToken()) : unitsByDemand;
      if (keptUnits >= bucket.units()) return false;
      lowerTo(keptUnits, nowMs);
      return true;
    },
    releaseAll: (nowMs: number): void => {
      discardExpired(nowMs);
      lowerTo(0, nowMs);
    },
    /** Removes and returns all units and tokens, when this VM becomes the allocator. */
    drain: (nowMs: number): { units: number; tokens: number } => {
      discardExpired(nowMs);
      const units = bucket.units();
      return { units, tokens: bucket.removeUnits(units, nowMs) };
    },
  };
};

export default createQuotaConsumer;
