import { createFleetBucket } from '@auburngrade/coordination';
import type FleetConfiguration from '../seams/fleetConfiguration';

/** The least time between two processes of a VM. */
const RESTART_MS = 1_000;

type Limits = FleetConfiguration['limits'];

/** Keeps the accounts' rates over the fleet: one bucket an account, charged with what others admit. */
const createRateLimiter = (nowMs: () => number) => {
  const startedAtMs = nowMs();
  const buckets = new Map<string, ReturnType<typeof createFleetBucket>>();
  const admitted = new Map<string, number>();
  let limits: Limits = new Map();
  let share = 1;

  const bucketOf = (account: string) => {
    const limit = limits.get(account);
    if (!limit) return undefined;
    const known = buckets.get(account);
    if (known) return known;
    // A process starts a second or more after the one before it ended, and nothing was spent then.
    const created = createFleetBucket(limit, startedAtMs - RESTART_MS);
    created.setShare(share, startedAtMs);
    buckets.set(account, created);
    return created;
  };

  return {
    setLimits: (next: Limits): void => {
      limits = next;
      for (const [account, bucket] of buckets) {
        const limit = next.get(account);
        if (limit) bucket.setLimit(limit, nowMs());
        else buckets.delete(account);
      }
    },
    /** Admits one operation, or tells when the next one could be admitted. */
    admit: (account: string): { isAdmitted: boolean; retryInMs: number } => {
      const bucket = bucketOf(account);
      if (bucket && !bucket.take(nowMs())) {
        return { isAdmitted: false, retryInMs: bucket.dueInMs(nowMs()) };
      }
      admitted.set(account, (admitted.get(account) ?? 0) + 1);
      return { isAdmitted: true, retryInMs: 0 };
    },
    /** Takes back the admission of an operation of which nothing was sent to an endpoint. */
    putBack: (account: string): void => {
      bucketOf(account)?.charge(-1, nowMs());
      admitted.set(account, (admitted.get(account) ?? 0) - 1);
    },
    charge: (account: string, count: number): void => bucketOf(account)?.charge(count, nowMs()),
    /** Limits this VM to a part of each rate while another spending VM cannot report. */
    setShare: (next: number): void => {
      if (next === share) return;
      share = next;
      buckets.forEach((bucket) => bucket.setShare(next, nowMs()));
    },
    /** Operations admitted since the process started, by account. */
    admitted: (): ReadonlyMap<string, number> => admitted,
  };
};

export default createRateLimiter;
