import type { VmView } from '@auburngrade/coordination';
import type { Heartbeat } from '../generated/auburngrade/session/v1/session';
import type createRateLimiter from '../limits/createRateLimiter';

/** A process this young takes a VM's first report as a baseline: it may count operations from before. */
const BASELINE_PERIOD_MS = 5_000;
/** Reports at most this far apart are charged in full. */
const FULL_CHARGE_INTERVAL_MS = 1_000;

/** Reports the operations admitted here to the other VMs, and charges theirs to the rate limiter. */
const createRateUsageSync = (
  limiter: ReturnType<typeof createRateLimiter>,
  nowMs: () => number,
) => {
  const startedAtMs = nowMs();
  /** Counts last reported on each stream, by account. */
  const reportedCounts = new WeakMap<object, Map<string, number>>();
  const reporters = new Map<string, { atMs: number; counts: Map<string, number> }>();

  return {
    report: (stream: object, isFirst: boolean): Heartbeat['spending'] => {
      const before = isFirst
        ? new Map<string, number>()
        : (reportedCounts.get(stream) ?? new Map());
      reportedCounts.set(stream, before);
      const changed = [...limiter.admitted()].filter(
        ([account, admitted]) => before.get(account) !== admitted,
      );
      changed.forEach(([account, admitted]) => before.set(account, admitted));
      return changed.map(([account, admitted]) => ({ account, admitted }));
    },
    chargeReport: (vm: string, incarnation: string, spending: Heartbeat['spending']): void => {
      const reporter = `${vm}@${incarnation}`;
      const now = nowMs();
      const before = reporters.get(reporter);
      const counts = before?.counts ?? new Map<string, number>();
      reporters.set(reporter, { atMs: now, counts });
      const isBaseline = !before && now - startedAtMs < BASELINE_PERIOD_MS;
      // After a long gap only the last second is charged: the buckets have been refilled since.
      const chargedRatio = Math.min(
        1,
        FULL_CHARGE_INTERVAL_MS / Math.max(1, now - (before?.atMs ?? now)),
      );
      spending.forEach(({ account, admitted }) => {
        const newlyAdmitted = admitted - (counts.get(account) ?? 0);
        counts.set(account, admitted);
        if (!isBaseline && newlyAdmitted !== 0)
          limiter.charge(account, newlyAdmitted * chargedRatio);
      });
    },
    /** While the VM of any group cannot be heard, limits this one to its share of the groups. */
    updateShare: (
      vms: readonly VmView[],
      isServedHere: (group: string) => boolean,
      groups: ReadonlySet<string>,
      servingVm: (group: string) => string | undefined,
    ): void => {
      const heardVms = new Set(vms.filter(({ isHeard }) => isHeard).map(({ vm }) => vm));
      const groupNames = [...groups];
      const unheardGroups = groupNames.filter((group) => {
        const owner = servingVm(group);
        return owner !== undefined && !heardVms.has(owner);
      });
      const servedHere = groupNames.filter(isServedHere);
      limiter.setShare(
        unheardGroups.length === 0 ? 1 : servedHere.length / Math.max(1, groupNames.length),
      );
    },
  };
};

export default createRateUsageSync;
