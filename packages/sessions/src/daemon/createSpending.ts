import type { VmView } from '@auburngrade/coordination';
import type { Heartbeat } from '../generated/auburngrade/session/v1/session';
import type createRateLimiter from '../limits/createRateLimiter';

/** A process that started this lately cannot tell which part of a report it missed. */
const SETTLED_AFTER_MS = 5_000;
/** Reports that come within this time are charged in full. */
const REPORT_MS = 1_000;

/** Tells other VMs what this one admitted, and charges what they admitted. */
const createSpending = (limiter: ReturnType<typeof createRateLimiter>, nowMs: () => number) => {
  const startedAtMs = nowMs();
  /** What each stream was told, by account. */
  const told = new WeakMap<object, Map<string, number>>();
  const known = new Map<string, { atMs: number; counts: Map<string, number> }>();

  return {
    report: (stream: object, isFirst: boolean): Heartbeat['spending'] => {
      const before = isFirst ? new Map<string, number>() : (told.get(stream) ?? new Map());
      told.set(stream, before);
      const changed = [...limiter.admitted()].filter(
        ([account, admitted]) => before.get(account) !== admitted,
      );
      changed.forEach(([account, admitted]) => before.set(account, admitted));
      return changed.map(([account, admitted]) => ({ account, admitted }));
    },
    onReport: (vm: string, incarnation: string, spending: Heartbeat['spending']): void => {
      const reporter = `${vm}@${incarnation}`;
      const now = nowMs();
      const before = known.get(reporter);
      const counts = before?.counts ?? new Map<string, number>();
      known.set(reporter, { atMs: now, counts });
      const isHistory = !before && now - startedAtMs < SETTLED_AFTER_MS;
      // The buckets have been refilled since: of a long silence only the last part still counts.
      const part = Math.min(1, REPORT_MS / Math.max(1, now - (before?.atMs ?? now)));
      spending.forEach(({ account, admitted }) => {
        const added = admitted - (counts.get(account) ?? 0);
        counts.set(account, admitted);
        if (!isHistory && added !== 0) limiter.charge(account, added * part);
      });
    },
    /** While an owner of another group cannot be heard, each keeps to its part of the rates. */
    balance: (
      vms: readonly VmView[],
      isMine: (group: string) => boolean,
      groups: ReadonlySet<string>,
      servingVm: (group: string) => string | undefined,
    ): void => {
      const heard = new Set(vms.filter(({ isHeard }) => isHeard).map(({ vm }) => vm));
      const names = [...groups];
      const silent = names.filter((group) => {
        const owner = servingVm(group);
        return owner !== undefined && !heard.has(owner);
      });
      const mine = names.filter(isMine);
      limiter.setShare(silent.length === 0 ? 1 : mine.length / Math.max(1, names.length));
    },
  };
};

export default createSpending;
