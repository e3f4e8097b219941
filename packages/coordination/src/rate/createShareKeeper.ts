import createDemandMeter from './createDemandMeter';
import createShareBucket from './createShareBucket';
import type RateLimit from './rateLimit';
import type ShareGrant from './shareGrant';
import type ShareSync from './shareSync';
import WHOLE_UNITS from './wholeUnits';

interface ShareKeeperOptions {
  limit: RateLimit;
  epoch: number;
  /** VMs that may hold units of an earlier epoch and have not reported yet. */
  unreported: ReadonlySet<string>;
  /** What this VM itself held before it became the keeper. */
  ownUnits: number;
  ownTokens: number;
  leaseMs: number;
  /** When units of the VMs that never report have certainly lapsed. */
  lapsedAtMs: number;
  nowMs: number;
}

/** Units of a VM that is gone or will have let its lease lapse. */
interface Forfeit {
  units: number;
  /** The platform must confirm this epoch later than this. */
  confirmedAfterMs: number;
}

interface Allotment {
  incarnation: number;
  units: number;
  sequence: number;
  demandPerS: number;
  leaseEndsAtMs: number;
}

/** A holder's clock may run this much slower than the keeper's. */
const CLOCK_MARGIN_RATIO = 0.01;
const CLOCK_MARGIN_MS = 1_000;
/** A holder with this many times its part by demand is asked to give back the rest. */
const EXCESS_RATIO = 1.25;
/** Demand that an idle VM counts with, so that parts are defined without any. */
const IDLE_DEMAND_PER_S = 0.001;
const MAX_RECALLS = 4;

/**
 * Keeps the ledger of one account's shares for an epoch. The ledger's units of a
 * holder are an upper bound of what it holds; the rest is the keeper's own share.
 */
const createShareKeeper = (options: ShareKeeperOptions) => {
  const bucket = createShareBucket(options.limit, options.nowMs);
  const demand = createDemandMeter();
  const ledger = new Map<string, Allotment>();
  const unreported = new Set(options.unreported);
  const forfeits: Forfeit[] = [];
  let isMinted = false;
  let confirmedAtMs = options.nowMs;
  bucket.add(options.ownUnits, options.ownTokens, options.nowMs);

  const sumOf = (parts: Iterable<{ units: number }>): number =>
    [...parts].reduce((sum, { units }) => sum + units, 0);

  /** Claims the units that nobody holds any more, once that is certain. */
  const mint = (nowMs: number): void => {
    if (isMinted || (unreported.size > 0 && confirmedAtMs < options.lapsedAtMs)) return;
    isMinted = true;
    unreported.clear();
    const rest = WHOLE_UNITS - sumOf(ledger.values()) - sumOf(forfeits) - bucket.units();
    // Only before the first epoch nothing can have been spent yet.
    bucket.add(rest, options.epoch === 1 ? options.limit.burst : 0, nowMs);
  };

  const forfeit = (entry: Allotment, confirmedAfterMs: number): void => {
    forfeits.push({ units: entry.units, confirmedAfterMs });
    Object.assign(entry, { units: 0, demandPerS: 0 });
  };

  /** Takes back forfeited units that the holder cannot have reported to a later keeper. */
  const reclaim = (nowMs: number): void => {
    [...ledger.values()]
      .filter(({ units, leaseEndsAtMs }) => units > 0 && nowMs >= leaseEndsAtMs)
      .forEach((entry) => forfeit(entry, entry.leaseEndsAtMs));
    const certain = forfeits.filter((part) => part.confirmedAfterMs < confirmedAtMs);
    certain.forEach((part) => forfeits.splice(forfeits.indexOf(part), 1));
    bucket.add(sumOf(certain), 0, nowMs);
  };

  const partOf = (demandPerS: number, nowMs: number): number => {
    const others = [...ledger.values()].reduce((sum, entry) => sum + entry.demandPerS, 0);
    const total = others + demand.perS(nowMs) + IDLE_DEMAND_PER_S;
    return Math.floor((WHOLE_UNITS * demandPerS) / total);
  };

  const open = (sync: ShareSync, nowMs: number): Allotment => {
    const known = ledger.get(sync.vm);
    if (known && known.incarnation === sync.incarnation) return known;
    if (known) forfeit(known, nowMs);
    const isAdopted = unreported.delete(sync.vm);
    const entry = {
      incarnation: sync.incarnation,
      units: isAdopted ? sync.heldUnits : 0,
      sequence: 0,
      demandPerS: 0,
      leaseEndsAtMs: 0,
    };
    ledger.set(sync.vm, entry);
    return entry;
  };

  /** Units for the tokens that a holder needs beyond its part. */
  const unitsForTokens = (entry: Allotment, neededTokens: number, nowMs: number): number => {
    const tokens = bucket.tokens(nowMs);
    if (neededTokens === 0 || tokens < 1) return 0;
    const forTokens = Math.ceil((bucket.units() * Math.min(neededTokens, tokens)) / tokens);
    const forOneToken = Math.ceil(WHOLE_UNITS / options.limit.burst) - entry.units;
    return Math.min(bucket.units(), Math.max(forTokens, forOneToken));
  };

  const grant = (entry: Allotment, sync: ShareSync, nowMs: number): ShareGrant => {
    const part = partOf(entry.demandPerS, nowMs);
    const spare = Math.max(0, bucket.units() - partOf(demand.perS(nowMs), nowMs));
    const byPart = Math.min(Math.max(0, part - entry.units), spare);
    const added = Math.max(byPart, unitsForTokens(entry, sync.neededTokens, nowMs));
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
    units: () => bucket.units(),
    isMinted: () => isMinted,
    /** VMs whose units of an earlier epoch are not known yet. */
    unreported: (): string[] => [...unreported],
    /** Notes that a VM runs as a later process: what the earlier one held is forfeited. */
    noteIncarnation: (vm: string, incarnation: number, nowMs: number): void => {
      const known = ledger.get(vm);
      if (!known || known.incarnation >= incarnation) return;
      forfeit(known, nowMs);
      Object.assign(known, { incarnation, sequence: 0 });
    },
    /** True when units wait for the platform to confirm this epoch. */
    needsConfirmation: (nowMs: number): boolean => {
      reclaim(nowMs);
      return forfeits.length > 0 || (!isMinted && nowMs >= options.lapsedAtMs);
    },
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
      return bucket.take(nowMs);
    },
    putBack: (nowMs: number) => bucket.putBack(nowMs),
    tokens: (nowMs: number) => bucket.tokens(nowMs),
    tokenDueInMs: (nowMs: number) => bucket.tokenDueInMs(nowMs),
    /** Takes a holder's report and decides its units. */
    sync: (sync: ShareSync, nowMs: number): ShareGrant => {
      if (sync.epoch !== options.epoch) return { kind: 'refused', reason: 'another epoch' };
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
      const margin = options.leaseMs * CLOCK_MARGIN_RATIO + CLOCK_MARGIN_MS;
      entry.leaseEndsAtMs = nowMs + options.leaseMs + margin;
      const returned = Math.max(0, entry.units - sync.heldUnits);
      entry.units -= returned;
      if (returned > 0) bucket.add(returned, sync.releasedTokens, nowMs);
      mint(nowMs);
      reclaim(nowMs);
      return grant(entry, sync, nowMs);
    },
    /** The holders with most units, to be asked for what they do not need. */
    recallable: (exceptVm?: string): string[] =>
      [...ledger]
        .filter(([vm, { units }]) => vm !== exceptVm && units > 0)
        .sort(([, a], [, b]) => b.units - a.units)
        .slice(0, MAX_RECALLS)
        .map(([vm]) => vm),
    /** The holder with most units, to be the next keeper. */
    successor: (): { vm: string; incarnation: number } | undefined => {
      const [first] = [...ledger]
        .filter(([, { units }]) => units > 0)
        .sort(([, a], [, b]) => b.units - a.units);
      return first && { vm: first[0], incarnation: first[1].incarnation };
    },
    /** Ends the epoch here: what this VM goes on holding as an ordinary holder. */
    resign: (nowMs: number): { units: number; tokens: number } => {
      const units = bucket.units();
      return { units, tokens: bucket.remove(units, nowMs) };
    },
  };
};

export default createShareKeeper;
