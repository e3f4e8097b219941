import createDemandMeter from './createDemandMeter';
import createQuotaBucket from './createQuotaBucket';
import type RateLimit from './rateLimit';
import type QuotaGrant from './quotaGrant';
import type QuotaReport from './quotaReport';
import type VmLease from '../witness/vmLease';
import type LeaseRecord from '../witness/leaseRecord';
import WHOLE_UNITS from './wholeUnits';

interface QuotaAllocatorOptions {
  limit: RateLimit;
  epoch: number;
  /** VMs that may still hold units of an earlier epoch and have not reported in this one. */
  unreportedVms: ReadonlySet<string>;
  /** Those of them that may still be active as the allocator of an earlier epoch. */
  former: ReadonlySet<string>;
  /** Units that this VM held before it became the allocator. */
  initialUnits: number;
  initialTokens: number;
  leaseMs: number;
  /** The VM's lease; the allocator is active only while it is valid. */
  lease: VmLease;
  /** When units of VMs that never report have certainly expired. */
  unreportedExpireAtMs: number;
  nowMs: number;
}

interface Allocation {
  incarnation: number;
  units: number;
  sequence: number;
  demandPerS: number;
  leaseExpiresAtMs: number;
  /** The lease under which the units are held. */
  lease: LeaseRecord;
}

/** A consumer's clock may run slower than the allocator's by this ratio. */
const CLOCK_MARGIN_RATIO = 0.01;
const CLOCK_MARGIN_MS = 1_000;
/** A consumer with more than this multiple of its fair share is told to return the excess. */
const RECALL_EXCESS_RATIO = 1.25;
/** Added to the total demand so that fair shares are defined when all VMs are idle. */
const DEMAND_FLOOR_PER_S = 0.001;
/**
 * Total demand counts as over the rate only above this multiple of it. Consumers report right
 * after requests, so the sum of their reports exceeds the true demand.
 */
const OVER_RATE_DEMAND_RATIO = 1.5;
const MAX_RECALL_TARGETS = 4;

/**
 * Allocates one account's quota units to VMs for one epoch. The units recorded for a consumer
 * are an upper bound of what it holds; the allocator uses the rest itself. At most one
 * allocator of an account is active: a new one refuses reports until every earlier one has
 * certainly stopped, and one whose VM's lease has expired stays inactive.
 */
const createQuotaAllocator = (options: QuotaAllocatorOptions) => {
  const bucket = createQuotaBucket(options.limit, options.nowMs);
  const demand = createDemandMeter();
  const allocations = new Map<string, Allocation>();
  const unreportedVms = new Set(options.unreportedVms);
  const formerAllocators = new Set(options.former);
  const leaseGeneration = options.lease.currentGeneration(options.nowMs);
  let hasLeaseExpired = leaseGeneration === undefined;
  let areAllUnitsClaimed = false;
  let epochConfirmedAtMs = options.nowMs;
  bucket.addUnits(options.initialUnits, options.initialTokens, options.nowMs);

  const isActive = (nowMs: number): boolean => {
    if (!hasLeaseExpired && options.lease.currentGeneration(nowMs) !== leaseGeneration) {
      hasLeaseExpired = true;
      bucket.removeUnits(bucket.units(), nowMs);
    }
    return !hasLeaseExpired;
  };

  const sumUnits = (holdings: Iterable<{ units: number }>): number =>
    [...holdings].reduce((sum, { units }) => sum + units, 0);

  /** Claims the units of earlier epochs once certainly no other VM holds them. */
  const claimFreeUnits = (nowMs: number): void => {
    if (areAllUnitsClaimed || !isActive(nowMs)) return;
    if (unreportedVms.size > 0 && epochConfirmedAtMs < options.unreportedExpireAtMs) return;
    areAllUnitsClaimed = true;
    unreportedVms.clear();
    formerAllocators.clear();
    const freeUnits = WHOLE_UNITS - sumUnits(allocations.values()) - bucket.units();
    // Only in the first epoch can no tokens have been spent before.
    bucket.addUnits(freeUnits, options.epoch === 1 ? options.limit.burst : 0, nowMs);
  };

  /** Takes back units that the consumer has certainly lost. */
  const reclaimUnits = (allocation: Allocation, nowMs: number): void => {
    bucket.addUnits(allocation.units, 0, nowMs);
    Object.assign(allocation, { units: 0, demandPerS: 0 });
  };

  const reclaimExpired = (nowMs: number): void => {
    if (!isActive(nowMs)) return;
    [...allocations.values()]
      .filter(({ units, leaseExpiresAtMs }) => units > 0 && nowMs >= leaseExpiresAtMs)
      .forEach((allocation) => reclaimUnits(allocation, nowMs));
  };

  const totalDemandPerS = (nowMs: number): number =>
    [...allocations.values()].reduce(
      (sum, allocation) => sum + allocation.demandPerS,
      demand.ratePerS(nowMs),
    );

  /** Whether demand exceeds the rate, so that moving units cannot avoid refusals. */
  const isOverRate = (nowMs: number): boolean =>
    totalDemandPerS(nowMs) > options.limit.ratePerS * OVER_RATE_DEMAND_RATIO;

  const fairUnitsOf = (demandPerS: number, nowMs: number): number =>
    Math.floor((WHOLE_UNITS * demandPerS) / (totalDemandPerS(nowMs) + DEMAND_FLOOR_PER_S));

  const openAllocation = (report: QuotaReport, nowMs: number): Allocation => {
    const existing = allocations.get(report.vm);
    if (existing && existing.incarnation === report.incarnation) return existing;
    if (existing) reclaimUnits(existing, nowMs);
    const isAdopted = unreportedVms.delete(report.vm);
    formerAllocators.delete(report.vm);
    const allocation = {
      incarnation: report.incarnation,
      units: isAdopted ? report.heldUnits : 0,
      sequence: 0,
      demandPerS: 0,
      leaseExpiresAtMs: 0,
      lease: report.lease,
    };
    allocations.set(report.vm, allocation);
    return allocation;
  };

  /** Units for the tokens that a consumer needs beyond its fair share. */
  const unitsForTokens = (
    allocation: Allocation,
    neededTokens: number,
    waitingRequests: number,
    nowMs: number,
  ): number => {
    if (neededTokens === 0) return 0;
    const tokens = bucket.tokens(nowMs);
    if (tokens < 1) return waitingRequests > 0 || isOverRate(nowMs) ? 0 : bucket.units();
    const unitsForNeed = Math.ceil((bucket.units() * Math.min(neededTokens, tokens)) / tokens);
    const unitsForOneToken = bucket.minUnitsForToken() - allocation.units;
    return Math.min(bucket.units(), Math.max(unitsForNeed, unitsForOneToken));
  };

  const decideGrant = (
    allocation: Allocation,
    report: QuotaReport,
    hasReturned: boolean,
    waitingRequests: number,
    nowMs: number,
  ): QuotaGrant => {
    const fairUnits = fairUnitsOf(allocation.demandPerS, nowMs);
    const spareUnits = Math.max(0, bucket.units() - fairUnitsOf(demand.ratePerS(nowMs), nowMs));
    // Units just released for other VMs must not return to the same consumer at once.
    const unitsByFairShare = hasReturned
      ? 0
      : Math.min(Math.max(0, fairUnits - allocation.units), spareUnits);
    const addedUnits = Math.max(
      unitsByFairShare,
      unitsForTokens(allocation, report.neededTokens, waitingRequests, nowMs),
    );
    const tokens = addedUnits === 0 ? 0 : bucket.removeUnits(addedUnits, nowMs);
    const units = allocation.units + addedUnits;
    Object.assign(allocation, { units });
    const isExcess =
      addedUnits === 0 && report.neededTokens === 0 && units > fairUnits * RECALL_EXCESS_RATIO;
    const { epoch, sequence } = report;
    return {
      kind: 'granted',
      epoch,
      sequence,
      units: isExcess ? fairUnits : units,
      tokens,
      hasAskedAll: true,
    };
  };

  return {
    epoch: options.epoch,
    units: (nowMs: number): number => (isActive(nowMs) ? bucket.units() : 0),
    areAllUnitsClaimed: () => areAllUnitsClaimed,
    /** Whether this allocator is active; permanently false once the VM's lease has expired. */
    isActive,
    /** VMs whose units of an earlier epoch are still unknown. */
    unreportedVms: (): string[] => [...unreportedVms],
    /** Reclaims the units of a VM's earlier process when a later one is seen. */
    reclaimEarlierIncarnation: (vm: string, incarnation: number, nowMs: number): void => {
      const existing = allocations.get(vm);
      if (!existing || existing.incarnation >= incarnation || !isActive(nowMs)) return;
      reclaimUnits(existing, nowMs);
      Object.assign(existing, { incarnation, sequence: 0 });
    },
    /** Returns a copy of a consumer's allocation, to be compared once its lease has expired. */
    allocationOf: (vm: string): Readonly<Allocation> | undefined => {
      const allocation = allocations.get(vm);
      return allocation && { ...allocation };
    },
    /** Reclaims the units of a VM whose lease expired, unless it has reported since `observed`. */
    reclaimExpiredVm: (vm: string, observed: Readonly<Allocation>, nowMs: number): void => {
      const allocation = allocations.get(vm);
      const isSame =
        allocation?.incarnation === observed.incarnation &&
        allocation.sequence === observed.sequence;
      if (allocation && isSame && isActive(nowMs)) reclaimUnits(allocation, nowMs);
    },
    /** Records that a VM holds no units of an earlier epoch and is not the allocator of one. */
    clearUnreported: (vm: string, nowMs: number): void => {
      unreportedVms.delete(vm);
      formerAllocators.delete(vm);
      claimFreeUnits(nowMs);
    },
    /** Whether unclaimed units wait for the configuration store to confirm this epoch. */
    needsEpochConfirmation: (nowMs: number): boolean =>
      !areAllUnitsClaimed && nowMs >= options.unreportedExpireAtMs,
    /** Records that a read of the configuration store, sent at `sentAtMs`, returned this epoch. */
    confirmEpoch: (sentAtMs: number, nowMs: number): void => {
      epochConfirmedAtMs = Math.max(epochConfirmedAtMs, sentAtMs);
      claimFreeUnits(nowMs);
      reclaimExpired(nowMs);
    },
    demandPerS: (nowMs: number) => demand.ratePerS(nowMs),
    setLimit: (limit: RateLimit, nowMs: number): void => {
      Object.assign(options, { limit });
      bucket.setLimit(limit, nowMs);
    },
    count: (nowMs: number) => demand.count(nowMs),
    take: (nowMs: number): boolean => {
      claimFreeUnits(nowMs);
      reclaimExpired(nowMs);
      return isActive(nowMs) && bucket.take(nowMs);
    },
    refundToken: (nowMs: number): void => {
      if (isActive(nowMs)) bucket.refundToken(nowMs);
    },
    tokens: (nowMs: number): number => (isActive(nowMs) ? bucket.tokens(nowMs) : 0),
    tokenDueInMs: (nowMs: number) => bucket.tokenDueInMs(nowMs),
    /** VMs other than this one that may hold units. */
    holding: (): string[] =>
      [...allocations].filter(([, { units }]) => units > 0).map(([vm]) => vm),
    /** Processes a consumer's report and grants units; `waitingRequests` wait on this VM. */
    handleReport: (report: QuotaReport, nowMs: number, waitingRequests = 0): QuotaGrant => {
      if (report.epoch !== options.epoch) return { kind: 'refused', reason: 'another epoch' };
      if (!isActive(nowMs)) return { kind: 'refused', reason: 'no longer the keeper' };
      if (formerAllocators.size > 0 && !formerAllocators.has(report.vm)) {
        return { kind: 'refused', reason: 'an earlier keeper may still act' };
      }
      const existing = allocations.get(report.vm);
      if (existing && report.incarnation < existing.incarnation) {
        return { kind: 'refused', reason: 'an earlier incarnation' };
      }
      if (existing?.incarnation === report.incarnation && report.sequence <= existing.sequence) {
        return { kind: 'refused', reason: 'an older report' };
      }
      const allocation = openAllocation(report, nowMs);
      allocation.sequence = report.sequence;
      allocation.demandPerS = report.demandPerS;
      allocation.lease = report.lease;
      const marginMs = options.leaseMs * CLOCK_MARGIN_RATIO + CLOCK_MARGIN_MS;
      allocation.leaseExpiresAtMs = nowMs + options.leaseMs + marginMs;
      const returnedUnits = Math.max(0, allocation.units - report.heldUnits);
      allocation.units -= returnedUnits;
      if (returnedUnits > 0) bucket.addUnits(returnedUnits, report.releasedTokens, nowMs);
      claimFreeUnits(nowMs);
      reclaimExpired(nowMs);
      return decideGrant(allocation, report, returnedUnits > 0, waitingRequests, nowMs);
    },
    /**
     * Consumers to recall units from: those with the most units above their fair share. `partUnits`
     * is that fair share, or all units while the account is over its rate.
     */
    recallTargets: (
      isAsked: (vm: string) => boolean,
      nowMs: number,
    ): { vm: string; partUnits: number }[] =>
      [...allocations]
        .filter(([vm, { units }]) => units > 0 && isAsked(vm))
        .map(([vm, { units, demandPerS }]) => {
          const fairUnits = fairUnitsOf(demandPerS, nowMs);
          return {
            vm,
            partUnits: isOverRate(nowMs) ? WHOLE_UNITS : fairUnits,
            excess: units - fairUnits,
          };
        })
        .sort((a, b) => b.excess - a.excess)
        .slice(0, MAX_RECALL_TARGETS)
        .map(({ vm, partUnits }) => ({ vm, partUnits })),
    /** The consumer with the most units, proposed as the next allocator. */
    successor: (): { vm: string; incarnation: number } | undefined => {
      const [largest] = [...allocations]
        .filter(([, { units }]) => units > 0)
        .sort(([, a], [, b]) => b.units - a.units);
      return largest && { vm: largest[0], incarnation: largest[1].incarnation };
    },
    /** Removes and returns this VM's own units and tokens, which it retains as a consumer. */
    drain: (nowMs: number): { units: number; tokens: number } => {
      if (!isActive(nowMs)) return { units: 0, tokens: 0 };
      const units = bucket.units();
      return { units, tokens: bucket.removeUnits(units, nowMs) };
    },
  };
};

export default createQuotaAllocator;
