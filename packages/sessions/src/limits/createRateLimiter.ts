import { createReplicatedBucket } from '@auburngrade/coordination';
import type FleetConfiguration from '../seams/fleetConfiguration';

/** Minimum time between the end of a VM's process and the start of the next one. */
const MIN_RESTART_INTERVAL_MS = 1_000;

type Limits = FleetConfiguration['limits'];

/** Enforces account rate limits: one token bucket each, also charged with what other VMs admit. */
const createRateLimiter = (nowMs: () => number) => {
  let startedAtMs = nowMs();
  const buckets = new Map<string, ReturnType<typeof createReplicatedBucket>>();
  const admitted = new Map<string, number>();
  let limits: Limits = new Map();
  let shareRatio = 1;

  const getBucket = (account: string) => {
    const limit = limits.get(account);
    if (!limit) return undefined;
    const existing = buckets.get(account);
    if (existing) return existing;
    // This VM admitted nothing since its previous process ended, so the bucket fills for that time.
    const created = createReplicatedBucket(limit, startedAtMs - MIN_RESTART_INTERVAL_MS);
    created.setLimitFraction(shareRatio, startedAtMs);
    buckets.set(account, created);
    return created;
  };

  return {
    /** Fills all buckets anew from now on: this VM does not know what others admitted before. */
    restart: (): void => {
      startedAtMs = nowMs();
      buckets.clear();
    },
    setLimits: (newLimits: Limits): void => {
      limits = newLimits;
      for (const [account, bucket] of buckets) {
        const limit = newLimits.get(account);
        if (limit) bucket.setLimit(limit, nowMs());
        else buckets.delete(account);
      }
    },
    /** Admits one operation, or returns the time until the next one can be admitted. */
    admit: (account: string): { isAdmitted: boolean; retryInMs: number } => {
      const bucket = getBucket(account);
      if (bucket && !bucket.take(nowMs())) {
        return { isAdmitted: false, retryInMs: bucket.tokenDueInMs(nowMs()) };
      }
      admitted.set(account, (admitted.get(account) ?? 0) + 1);
      return { isAdmitted: true, retryInMs: 0 };
    },
    /** Reverts the admission of an operation of which nothing was sent to an endpoint. */
    refund: (account: string): void => {
      getBucket(account)?.charge(-1, nowMs());
      admitted.set(account, (admitted.get(account) ?? 0) - 1);
    },
    /** Deducts operations that another VM admitted. */
    charge: (account: string, count: number): void => getBucket(account)?.charge(count, nowMs()),
    /** Limits this VM to a fraction (0 to 1) of each rate while another VM cannot report. */
    setLimitFraction: (newShareRatio: number): void => {
      if (newShareRatio === shareRatio) return;
      shareRatio = newShareRatio;
      buckets.forEach((bucket) => bucket.setLimitFraction(newShareRatio, nowMs()));
    },
    /** Operations admitted since the process started, by account. */
    admitted: (): ReadonlyMap<string, number> => admitted,
  };
};

export default createRateLimiter;
