import renewalQuorum from './renewalQuorum';
import type LeaseRecord from './leaseRecord';

/**
 * The short lease under which a VM uses and allocates quota units. It is counted from sending the
 * heartbeats that a quorum of any one witness group answered. Whatever the VM held under an expired
 * lease is lost: when the lease becomes valid again, it gets a new generation number.
 */
const createVmLease = (leaseMs: number) => {
  let record: LeaseRecord | undefined;
  let generation = 0;
  let isValid = false;
  const renewedAtMs = new Map<string, number>();

  const groupExpiresAtMs = (group: readonly string[]): number => {
    const renewalTimesMs = group.map(
      (witness) => renewedAtMs.get(witness) ?? Number.NEGATIVE_INFINITY,
    );
    const latestFirst = renewalTimesMs.sort((a, b) => b - a);
    return (latestFirst[renewalQuorum(group.length) - 1] ?? Number.NEGATIVE_INFINITY) + leaseMs;
  };

  const expiresAtMs = (): number => {
    if (!record) return Number.NEGATIVE_INFINITY;
    if (record.groups.length === 0) return Number.POSITIVE_INFINITY;
    return Math.max(...record.groups.map(groupExpiresAtMs));
  };

  const expireIfDue = (nowMs: number): void => {
    if (nowMs >= expiresAtMs()) isValid = false;
  };

  const startGeneration = (nowMs: number): void => {
    if (isValid || nowMs >= expiresAtMs()) return;
    isValid = true;
    generation += 1;
  };

  return {
    record: (): LeaseRecord | undefined => record,
    /** Restarts the lease under another record, or none; ends the current generation. */
    setRecord: (newRecord: LeaseRecord | undefined, nowMs: number): void => {
      record = newRecord;
      isValid = false;
      renewedAtMs.clear();
      startGeneration(nowMs);
    },
    /** Records that a witness renewed the lease by answering a heartbeat sent at `sentAtMs`. */
    renew: (witness: string, term: number, sentAtMs: number, nowMs: number): void => {
      expireIfDue(nowMs);
      if (term !== record?.term) return;
      const lastRenewedAtMs = renewedAtMs.get(witness) ?? Number.NEGATIVE_INFINITY;
      renewedAtMs.set(witness, Math.max(lastRenewedAtMs, sentAtMs));
      startGeneration(nowMs);
    },
    /** Number of the current uninterrupted validity period; undefined while expired. */
    currentGeneration: (nowMs: number): number | undefined => {
      expireIfDue(nowMs);
      return isValid ? generation : undefined;
    },
    /** Whether the lease has been valid at any time since the process started. */
    hasBeenValid: (): boolean => generation > 0,
    /** Whether a quorum of the group renewed the lease by heartbeats sent at or after `sinceMs`. */
    isRenewedBy: (group: readonly string[], sinceMs: number): boolean =>
      groupExpiresAtMs(group) - leaseMs >= sinceMs,
  };
};

export default createVmLease;
