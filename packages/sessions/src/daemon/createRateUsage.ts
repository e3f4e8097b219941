import type { VmView } from '@auburngrade/coordination';
import type { Heartbeat } from '../generated/auburngrade/session/v1/session';
import type createRateLimiter from '../limits/createRateLimiter';

/** A VM that joined the voters lately takes a first report as a baseline: it may count operations from before. */
const BASELINE_PERIOD_MS = 5_000;
/** Reports at most this far apart are charged in full. */
const FULL_CHARGE_MS = 1_000;

/** Reports operations admitted here to other VMs, and charges theirs to the rate limiter. */
const createRateUsage = (limiter: ReturnType<typeof createRateLimiter>, nowMs: () => number) => {
  let joinedAtMs = nowMs();
  /** Counts last reported on each stream, by account. */
  const reportedCounts = new WeakMap<object, Map<string, number>>();
  const lastReports = new Map<string, { atMs: number; counts: Map<string, number> }>();

  return {
    /** Call when this VM becomes a voter: until then no reports reached it. */
    join: (): void => {
      joinedAtMs = nowMs();
      limiter.restart();
    },
    /** Returns the counts that changed since the last report on the stream. */
    report: (stream: object, isFirst: boolean): Heartbeat['spending'] => {
      const previousCounts = isFirst
        ? new Map<string, number>()
        : (reportedCounts.get(stream) ?? new Map());
      reportedCounts.set(stream, previousCounts);
      const changed = [...limiter.admitted()].filter(
        ([account, admitted]) => previousCounts.get(account) !== admitted,
      );
      changed.forEach(([account, admitted]) => previousCounts.set(account, admitted));
      return changed.map(([account, admitted]) => ({ account, admitted }));
    },
    chargeReport: (vm: string, incarnation: string, spending: Heartbeat['spending']): void => {
      const reporter = `${vm}@${incarnation}`;
      const now = nowMs();
      const previousReport = lastReports.get(reporter);
      const counts = previousReport?.counts ?? new Map<string, number>();
      lastReports.set(reporter, { atMs: now, counts });
      const isBaseline = !previousReport && now - joinedAtMs < BASELINE_PERIOD_MS;
      // After a long gap only the last second is charged: the buckets have been refilled since.
      const chargedRatio = Math.min(
        1,
        FULL_CHARGE_MS / Math.max(1, now - (previousReport?.atMs ?? now)),
      );
      spending.forEach(({ account, admitted }) => {
        const added = admitted - (counts.get(account) ?? 0);
        counts.set(account, admitted);
        if (!isBaseline && added !== 0) limiter.charge(account, added * chargedRatio);
      });
    },
    /** Limits this VM to its fraction of the groups while the VM of one is silent. */
    updateShare: (
      vms: readonly VmView[],
      isServedHere: (group: string) => boolean,
      groups: ReadonlySet<string>,
      findServingVm: (group: string) => string | undefined,
    ): void => {
      const heard = new Set(
        vms.filter(({ hasRecentHeartbeat }) => hasRecentHeartbeat).map(({ vm }) => vm),
      );
      const names = [...groups];
      const unheardGroups = names.filter((group) => {
        const owner = findServingVm(group);
        return owner !== undefined && !heard.has(owner);
      });
      const servedHere = names.filter(isServedHere);
      limiter.setLimitFraction(
        unheardGroups.length === 0 ? 1 : servedHere.length / Math.max(1, names.length),
      );
    },
  };
};

export default createRateUsage;
