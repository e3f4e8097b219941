import renewalQuorum from './renewalQuorum';
import type LeaseRecord from './leaseRecord';

/**
 * The short lease under which a VM spends shares of rates and keeps their ledgers. It counts
 * from the sending of the heartbeats that a quorum of a group of witnesses answered. What was
 * held when it lapsed is lost for good: each standing after a lapse has a number of its own.
 */
const createVmLease = (leaseMs: number) => {
  let record: LeaseRecord | undefined;
  let generation = 0;
  let isStanding = false;
  const answeredAtMs = new Map<string, number>();

  const groupEndsAtMs = (group: readonly string[]): number => {
    const times = group.map((witness) => answeredAtMs.get(witness) ?? Number.NEGATIVE_INFINITY);
    const latestFirst = times.sort((a, b) => b - a);
    return (latestFirst[renewalQuorum(group.length) - 1] ?? Number.NEGATIVE_INFINITY) + leaseMs;
  };

  const endsAtMs = (): number => {
    if (!record) return Number.NEGATIVE_INFINITY;
    if (record.groups.length === 0) return Number.POSITIVE_INFINITY;
    return Math.max(...record.groups.map(groupEndsAtMs));
  };

  const lapse = (nowMs: number): void => {
    if (nowMs >= endsAtMs()) isStanding = false;
  };

  const stand = (nowMs: number): void => {
    if (isStanding || nowMs >= endsAtMs()) return;
    isStanding = true;
    generation += 1;
  };

  return {
    record: (): LeaseRecord | undefined => record,
    /** Starts anew under another record, or under none yet; what was held is lost. */
    seat: (next: LeaseRecord | undefined, nowMs: number): void => {
      record = next;
      isStanding = false;
      answeredAtMs.clear();
      stand(nowMs);
    },
    /** Notes that a witness renewed the lease by the answer to a heartbeat sent at `sentAtMs`. */
    renew: (witness: string, term: number, sentAtMs: number, nowMs: number): void => {
      lapse(nowMs);
      if (term !== record?.term) return;
      const known = answeredAtMs.get(witness) ?? Number.NEGATIVE_INFINITY;
      answeredAtMs.set(witness, Math.max(known, sentAtMs));
      stand(nowMs);
    },
    /** The number of the present standing; undefined while the lease has lapsed. */
    standing: (nowMs: number): number | undefined => {
      lapse(nowMs);
      return isStanding ? generation : undefined;
    },
    /** Whether the lease has stood at some time since the start. */
    hasStood: (): boolean => generation > 0,
    /** Whether the group renewed the lease by heartbeats sent after `sinceMs`. */
    isRenewedBy: (group: readonly string[], sinceMs: number): boolean =>
      groupEndsAtMs(group) - leaseMs >= sinceMs,
  };
};

export default createVmLease;
