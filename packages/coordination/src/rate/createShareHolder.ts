import createDemandMeter from './createDemandMeter';
import createShareBucket from './createShareBucket';
import type RateLimit from './rateLimit';
import type ShareGrant from './shareGrant';
import type ShareSync from './shareSync';
import WHOLE_UNITS from './wholeUnits';
import type VmLease from '../witness/vmLease';

interface ShareHolderOptions {
  share: string;
  vm: string;
  incarnation: number;
  limit: RateLimit;
  leaseMs: number;
  /** The VM's lease, under which it spends. */
  lease: VmLease;
  nowMs: number;
  /** Units that the VM kept as the keeper of an earlier epoch. */
  initialUnits?: number;
  initialTokens?: number;
  /** When the initial units lapse; a lease from now on by default. */
  leaseEndsAtMs?: number;
}

/** Of a VM that has no lease yet and holds nothing. */
const NO_LEASE = { term: 0, groups: [] };
/** Tokens kept when the keeper asks for some back: the demand of this time. */
const RESERVE_S = 0.05;
/** A holder that is asked for units may keep this many times its part by demand. */
const PART_RATIO = 1.02;
/** Below this demand a holder keeps nothing that the keeper asks for. */
const IDLE_DEMAND_PER_S = 0.1;

/**
 * A VM's share of an account's rate, granted by the keeper. Units are exact: only
 * the answer to the newest report changes them, so the keeper knows an upper bound
 * at any time. Tokens that move are lost with a lost message and refill by time.
 */
const createShareHolder = (options: ShareHolderOptions) => {
  const bucket = createShareBucket(options.limit, options.nowMs);
  const demand = createDemandMeter();
  bucket.add(options.initialUnits ?? 0, options.initialTokens ?? 0, options.nowMs);
  let epoch = 0;
  let sequence = 0;
  let releasedTokens = 0;
  let sentAtMs = 0;
  let reportedDemandPerS = 0;
  let leaseEndsAtMs = options.leaseEndsAtMs ?? options.nowMs + options.leaseMs;
  let standing = options.lease.standing(options.nowMs);

  const drop = (nowMs: number): void => {
    bucket.remove(bucket.units(), nowMs);
    releasedTokens = 0;
  };

  /** Loses what was held under a lease that has lapsed, and what may be under way for it. */
  const lapse = (nowMs: number): void => {
    const present = options.lease.standing(nowMs);
    if (present !== standing) {
      standing = present;
      sequence += 1;
      drop(nowMs);
    }
    if (nowMs >= leaseEndsAtMs) drop(nowMs);
  };

  const lower = (units: number, nowMs: number): void => {
    releasedTokens += bucket.remove(bucket.units() - units, nowMs);
  };

  /** Units that the VM's demand needs when the keeper asks for some. */
  const unitsToKeep = (partUnits: number, waiting: number, nowMs: number): number => {
    const demandPerS = demand.perS(nowMs);
    if (demandPerS < IDLE_DEMAND_PER_S) return 0;
    const tokens = bucket.tokens(nowMs);
    const surplus = tokens - demandPerS * RESERVE_S;
    // Fractions of a token serve nobody until they come together where a request waits.
    if (surplus < 1 && waiting === 0 && partUnits < WHOLE_UNITS) return 0;
    const given = surplus >= 2 ? surplus / 2 : surplus;
    const byTokens = surplus < 1 ? bucket.units() : bucket.units() * (1 - given / tokens);
    const growth = Math.max(1, demandPerS / Math.max(reportedDemandPerS, IDLE_DEMAND_PER_S));
    return Math.floor(Math.min(byTokens, partUnits * growth * PART_RATIO));
  };

  return {
    units: (nowMs: number): number => {
      lapse(nowMs);
      return bucket.units();
    },
    /** Whether the VM may hold units now. */
    isStanding: (nowMs: number): boolean => options.lease.standing(nowMs) !== undefined,
    demandPerS: (nowMs: number) => demand.perS(nowMs),
    setLimit: (limit: RateLimit, nowMs: number) => bucket.setLimit(limit, nowMs),
    count: (nowMs: number) => demand.count(nowMs),
    take: (nowMs: number): boolean => {
      lapse(nowMs);
      return bucket.take(nowMs);
    },
    putBack: (nowMs: number): void => {
      lapse(nowMs);
      bucket.putBack(nowMs);
    },
    tokenDueInMs: (nowMs: number) => bucket.tokenDueInMs(nowMs),
    /** Builds the next report; answers to earlier ones count no more. */
    report: (keeperEpoch: number, neededTokens: number, nowMs: number): ShareSync => {
      lapse(nowMs);
      if (keeperEpoch < epoch) throw new Error(`epoch ${keeperEpoch} is older than ${epoch}`);
      if (keeperEpoch > epoch) {
        epoch = keeperEpoch;
        sequence = 0;
        releasedTokens = 0;
      }
      sequence += 1;
      sentAtMs = nowMs;
      reportedDemandPerS = demand.perS(nowMs);
      const sent = releasedTokens;
      releasedTokens = 0;
      return {
        share: options.share,
        epoch,
        vm: options.vm,
        incarnation: options.incarnation,
        sequence,
        heldUnits: bucket.units(),
        lease: options.lease.record() ?? NO_LEASE,
        releasedTokens: sent,
        demandPerS: reportedDemandPerS,
        neededTokens,
      };
    },
    /** Applies the keeper's answer. */
    accept: (grant: ShareGrant, nowMs: number): void => {
      if (grant.kind === 'refused') return;
      lapse(nowMs);
      if (standing === undefined) return;
      if (grant.epoch !== epoch || grant.sequence !== sequence) return;
      // The lease counts from the report's sending: the keeper's end of it is later.
      leaseEndsAtMs = Math.max(leaseEndsAtMs, sentAtMs + options.leaseMs);
      if (nowMs >= leaseEndsAtMs) return;
      sequence += 1;
      const added = grant.units - bucket.units();
      if (added < 0) {
        lower(grant.units, nowMs);
        return;
      }
      // Tokens released after the report go back with their units.
      bucket.add(added, grant.tokens + releasedTokens, nowMs);
      releasedTokens = 0;
    },
    /**
     * Gives up units that this VM's demand does not need now; true when there were some.
     * `partUnits` is its part by the demand that it reported; it keeps no more than that, but
     * room for one token while requests wait here.
     */
    release: (nowMs: number, partUnits: number = WHOLE_UNITS, waiting = 0): boolean => {
      lapse(nowMs);
      if (bucket.units() === 0) return false;
      const byDemand = unitsToKeep(partUnits, waiting, nowMs);
      const kept = waiting > 0 ? Math.max(byDemand, bucket.unitsForOneToken()) : byDemand;
      if (kept >= bucket.units()) return false;
      lower(kept, nowMs);
      return true;
    },
    releaseAll: (nowMs: number): void => {
      lapse(nowMs);
      lower(0, nowMs);
    },
    /** Ends this holder; what it holds goes on in the keeper's own share. */
    resign: (nowMs: number): { units: number; tokens: number } => {
      lapse(nowMs);
      const units = bucket.units();
      return { units, tokens: bucket.remove(units, nowMs) };
    },
  };
};

export default createShareHolder;
