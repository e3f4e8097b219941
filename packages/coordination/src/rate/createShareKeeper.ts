import createDemandMeter from './createDemandMeter';
import createShareBucket from './createShareBucket';
import type RateLimit from './rateLimit';
import type ShareGrant from './shareGrant';
import type ShareSync from './shareSync';
import type VmLease from '../witness/vmLease';
import type LeaseRecord from '../witness/leaseRecord';
import WHOLE_UNITS from './wholeUnits';

interface ShareKeeperOptions {
  limit: RateLimit;
  epoch: number;
  /** VMs that may hold units of an earlier epoch and have not reported yet. */
  unreported: ReadonlySet<string>;
  /** Those of them that may still act as the keeper of an earlier epoch. */
  former: ReadonlySet<string>;
  /** What this VM itself held before it became the keeper. */
  ownUnits: number;
  ownTokens: number;
  leaseMs: number;
  /** The VM's lease, under which it keeps the ledger. */
  lease: VmLease;
  /** When units of the VMs that never report have certainly lapsed. */
  lapsedAtMs: number;
  nowMs: number;
}

interface Allotment {
  incarnation: number;
  units: number;
  sequence: number;
  demandPerS: number;
  leaseEndsAtMs: number;
  /** The lease under which the units are held. */
  lease: LeaseRecord;
}

/** A holder's clock may run this much slower than the keeper's. */
const CLOCK_MARGIN_RATIO = 0.01;
const CLOCK_MARGIN_MS = 1_000;
/** A holder with this many times its part by demand is asked to give back the rest. */
const EXCESS_RATIO = 1.25;
/** Demand that an idle VM counts with, so that parts are defined without any. */
const IDLE_DEMAND_PER_S = 0.001;
/**
 * The demand counts as above the rate from this many times it: reports are sent right after
 * requests, so their sum is above the true demand.
 */
const OVER_RATE_RATIO = 1.5;
const MAX_RECALLS = 4;

/**
 * Keeps the ledger of one account's shares for an epoch. The ledger's units of a
 * holder are an upper bound of what it holds; the rest is the keeper's own share.
 * At most one keeper of an account is in office: a later one refuses reports until each
 * earlier one has certainly ended, and one whose VM's lease has lapsed never acts again.
 */
const createShareKeeper = (options: ShareKeeperOptions) => {
  const bucket = createShareBucket(options.limit, options.nowMs);
  const demand = createDemandMeter();
  const ledger = new Map<string, Allotment>();
  const unreported = new Set(options.unreported);
  const former = new Set(options.former);
  const standing = options.lease.standing(options.nowMs);
  let isLost = standing === undefined;
  let isMinted = false;
  let confirmedAtMs = options.nowMs;
  bucket.add(options.ownUnits, options.ownTokens, options.nowMs);

  const isInOffice = (nowMs: number): boolean => {
    if (!isLost && options.lease.standing(nowMs) !== standing) {
      isLost = true;
      bucket.remove(bucket.units(), nowMs);
    }
    return !isLost;
  };

  const sumOf = (parts: Iterable<{ units: number }>): number =>
    [...parts].reduce((sum, { units }) => sum + units, 0);

  /** Claims the units that nobody holds any more, once that is certain. */
  const mint = (nowMs: number): void => {
    if (isMinted || !isInOffice(nowMs)) return;
    if (unreported.size > 0 && confirmedAtMs < options.lapsedAtMs) return;
    isMinted = true;
    unreported.clear();
    former.clear();
    const rest = WHOLE_UNITS - sumOf(ledger.values()) - bucket.units();
    // Only before the first epoch nothing can have been spent yet.
    bucket.add(rest, options.epoch === 1 ? options.limit.burst : 0, nowMs);
  };

  /** Takes back units that their holder has certainly lost. */
  const forfeit = (entry: Allotment, nowMs: number): void => {
    bucket.add(entry.units, 0, nowMs);
    Object.assign(entry, { units: 0, demandPerS: 0 });
  };

  const reclaim = (nowMs: number): void => {
    if (!isInOffice(nowMs)) return;
    [...ledger.values()]
      .filter(({ units, leaseEndsAtMs }) => units > 0 && nowMs >= leaseEndsAtMs)
      .forEach((entry) => forfeit(entry, nowMs));
  };

  const totalDemandPerS = (nowMs: number): number =>
    [...ledger.values()].reduce((sum, entry) => sum + entry.demandPerS, demand.perS(nowMs));

  /** Whether some requests are refused wherever the units are. */
  const isOverRate = (nowMs: number): boolean =>
    totalDemandPerS(nowMs) > options.limit.ratePerS * OVER_RATE_RATIO;

  const partOf = (demandPerS: number, nowMs: number): number =>
    Math.floor((WHOLE_UNITS * demandPerS) / (totalDemandPerS(nowMs) + IDLE_DEMAND_PER_S));

  const open = (sync: ShareSync, nowMs: number): Allotment => {
    const known = ledger.get(sync.vm);
    if (known && known.incarnation === sync.incarnation) return known;
    if (known) forfeit(known, nowMs);
    const isAdopted = unreported.delete(sync.vm);
    former.delete(sync.vm);
    const entry = {
      incarnation: sync.incarnation,
      units: isAdopted ? sync.heldUnits : 0,
      sequence: 0,
      demandPerS: 0,
      leaseEndsAtMs: 0,
      lease: sync.lease,
    };
    ledger.set(sync.vm, entry);
    return entry;
  };

  /** Units for the tokens that a holder needs beyond its part; `waiting` requests wait here. */
  const unitsForTokens = (
    entry: Allotment,
    neededTokens: number,
    waiting: number,
    nowMs: number,
  ): number => {
    if (neededTokens === 0) return 0;
    const tokens = bucket.tokens(nowMs);
    if (tokens < 1) return waiting > 0 || isOverRate(nowMs) ? 0 : bucket.units();
    const forTokens = Math.ceil((bucket.units() * Math.min(neededTokens, tokens)) / tokens);
    const forOneToken = bucket.unitsForOneToken() - entry.units;
    return Math.min(bucket.units(), Math.max(forTokens, forOneToken));
  };

  const grant = (
    entry: Allotment,
    sync: ShareSync,
    hasReturned: boolean,
    waiting: number,
    nowMs: number,
  ): ShareGrant => {
    const part = partOf(entry.demandPerS, nowMs);
    const spare = Math.max(0, bucket.units() - partOf(demand.perS(nowMs), nowMs));
    // What was given up for others to use must not go back at once.
    const byPart = hasReturned ? 0 : Math.min(Math.max(0, part - entry.units), spare);
    const added = Math.max(byPart, unitsForTokens(entry, sync.neededTokens, waiting, nowMs));
    const tokens = added === 0 ? 0 : bucket.remove(added, nowMs);
    const units = entry.units + added;
    Object.assign(entry, { units });
    const isExcess = added === 0 && sync.neededTokens === 0 && units > part * EXCESS_RATIO;
    const { epoch, sequence } = sync;
    return {
      kind: 'granted',
      epoch,
      sequence,
      units: isExcess ? part : units,
      tokens,
      hasAskedAll: true,
    };
  };

  return {
    epoch: options.epoch,
    units: (nowMs: number): number => (isInOffice(nowMs) ? bucket.units() : 0),
    isMinted: () => isMinted,
    /** False for good once the VM's lease has lapsed. */
    isInOffice,
    /** VMs whose units of an earlier epoch are not known yet. */
    unreported: (): string[] => [...unreported],
    /** Notes that a VM runs as a later process: what the earlier one held is forfeited. */
    noteIncarnation: (vm: string, incarnation: number, nowMs: number): void => {
      const known = ledger.get(vm);
      if (!known || known.incarnation >= incarnation || !isInOffice(nowMs)) return;
      forfeit(known, nowMs);
      Object.assign(known, { incarnation, sequence: 0 });
    },
    /** What the ledger says of a holder, to be compared once its lease has lapsed. */
    allotmentOf: (vm: string): Readonly<Allotment> | undefined => {
      const entry = ledger.get(vm);
      return entry && { ...entry };
    },
    /** Takes back what a VM held whose lease has lapsed since `seen`, unless it reported again. */
    noteLapsed: (vm: string, seen: Readonly<Allotment>, nowMs: number): void => {
      const entry = ledger.get(vm);
      const isSame = entry?.incarnation === seen.incarnation && entry.sequence === seen.sequence;
      if (entry && isSame && isInOffice(nowMs)) forfeit(entry, nowMs);
    },
    /** Notes that a VM holds nothing of an earlier epoch any more and keeps no ledger of one. */
    noteGone: (vm: string, nowMs: number): void => {
      unreported.delete(vm);
      former.delete(vm);
      mint(nowMs);
    },
    /** True when units wait for the platform to confirm this epoch. */
    needsConfirmation: (nowMs: number): boolean => !isMinted && nowMs >= options.lapsedAtMs,
    /** Notes that a read of the platform, sent at `sentAtMs`, still showed this epoch. */
    confirm: (sentAtMs: number, nowMs: number): void => {
      confirmedAtMs = Math.max(confirmedAtMs, sentAtMs);
      mint(nowMs);
      reclaim(nowMs);
    },
    demandPerS: (nowMs: number) => demand.perS(nowMs),
    setLimit: (limit: RateLimit, nowMs: number): void => {
      Object.assign(options, { limit });
      bucket.setLimit(limit, nowMs);
    },
    count: (nowMs: number) => demand.count(nowMs),
    take: (nowMs: number): boolean => {
      mint(nowMs);
      reclaim(nowMs);
      return isInOffice(nowMs) && bucket.take(nowMs);
    },
    putBack: (nowMs: number): void => {
      if (isInOffice(nowMs)) bucket.putBack(nowMs);
    },
    tokens: (nowMs: number): number => (isInOffice(nowMs) ? bucket.tokens(nowMs) : 0),
    tokenDueInMs: (nowMs: number) => bucket.tokenDueInMs(nowMs),
    /** VMs that may hold units, besides this one. */
    holding: (): string[] => [...ledger].filter(([, { units }]) => units > 0).map(([name]) => name),
    /** Takes a holder's report and decides its units while `waiting` requests wait here. */
    sync: (sync: ShareSync, nowMs: number, waiting = 0): ShareGrant => {
      if (sync.epoch !== options.epoch) return { kind: 'refused', reason: 'another epoch' };
      if (!isInOffice(nowMs)) return { kind: 'refused', reason: 'no longer the keeper' };
      if (former.size > 0 && !former.has(sync.vm)) {
        return { kind: 'refused', reason: 'an earlier keeper may still act' };
      }
      const known = ledger.get(sync.vm);
      if (known && sync.incarnation < known.incarnation) {
        return { kind: 'refused', reason: 'an earlier incarnation' };
      }
      if (known?.incarnation === sync.incarnation && sync.sequence <= known.sequence) {
        return { kind: 'refused', reason: 'an older report' };
      }
      const entry = open(sync, nowMs);
      entry.sequence = sync.sequence;
      entry.demandPerS = sync.demandPerS;
      entry.lease = sync.lease;
      const margin = options.leaseMs * CLOCK_MARGIN_RATIO + CLOCK_MARGIN_MS;
      entry.leaseEndsAtMs = nowMs + options.leaseMs + margin;
      const returned = Math.max(0, entry.units - sync.heldUnits);
      entry.units -= returned;
      if (returned > 0) bucket.add(returned, sync.releasedTokens, nowMs);
      mint(nowMs);
      reclaim(nowMs);
      return grant(entry, sync, returned > 0, waiting, nowMs);
    },
    /** The holders with most units beyond their part, to be asked for what they do not need. */
    recallable: (
      isAsked: (vm: string) => boolean,
      nowMs: number,
    ): { vm: string; partUnits: number }[] =>
      [...ledger]
        .filter(([vm, { units }]) => units > 0 && isAsked(vm))
        .map(([vm, { units, demandPerS }]) => {
          const part = partOf(demandPerS, nowMs);
          return { vm, partUnits: isOverRate(nowMs) ? WHOLE_UNITS : part, excess: units - part };
        })
        .sort((a, b) => b.excess - a.excess)
        .slice(0, MAX_RECALLS)
        .map(({ vm, partUnits }) => ({ vm, partUnits })),
    /** The holder with most units, to be the next keeper. */
    successor: (): { vm: string; incarnation: number } | undefined => {
      const [first] = [...ledger]
        .filter(([, { units }]) => units > 0)
        .sort(([, a], [, b]) => b.units - a.units);
      return first && { vm: first[0], incarnation: first[1].incarnation };
    },
    /** Ends the epoch here: what this VM goes on holding as an ordinary holder. */
    resign: (nowMs: number): { units: number; tokens: number } => {
      if (!isInOffice(nowMs)) return { units: 0, tokens: 0 };
      const units = bucket.units();
      return { units, tokens: bucket.remove(units, nowMs) };
    },
  };
};

export default createShareKeeper;
