import type WitnessPromise from './witnessPromise';

interface WitnessOptions {
  leaseMs: number;
  startedAtMs: number;
  /** From when it renews: a lease after the start, unless no earlier process can have promised. */
  opensAtMs: number;
}

/** A VM renewed less than this part of a lease ago counts as alive. */
const ALIVE_RATIO = 0.5;
/** A promise lives longer than any lease renewed before it. */
const PROMISE_LEASES = 2;

/**
 * A VM's part as a witness: it renews the leases of other VMs until it promises not to.
 * Promises are kept in memory only; a process that may have lost some renews nothing until
 * the leases that they were about have lapsed.
 */
const createWitness = ({ leaseMs, startedAtMs, opensAtMs }: WitnessOptions) => {
  const renewals = new Map<string, { term: number; atMs: number }>();
  const promises = new Map<string, { term: number; untilMs: number }>();

  const promised = (vm: string, nowMs: number) => {
    const found = promises.get(vm);
    if (found && nowMs < found.untilMs) return found;
    promises.delete(vm);
    return undefined;
  };

  return {
    /** Answers a heartbeat; true renews the lease of that term of the VM. */
    renew: (vm: string, term: number, nowMs: number): boolean => {
      const promise = promised(vm, nowMs);
      if (nowMs < opensAtMs || (promise && term <= promise.term)) return false;
      renewals.set(vm, { term, atMs: nowMs });
      return true;
    },
    /** Promises to renew no lease of the VM's terms up to `term`, unless it is alive. */
    promise: (vm: string, term: number, nowMs: number): WitnessPromise => {
      const last = renewals.get(vm);
      const renewedAgeMs = nowMs - (last?.atMs ?? startedAtMs);
      const isAlive = last && last.term <= term;
      const earlier = promised(vm, nowMs);
      if (!earlier && isAlive && renewedAgeMs < leaseMs * ALIVE_RATIO) {
        return { isPromised: false, renewedAgeMs };
      }
      promises.set(vm, {
        term: Math.max(term, earlier?.term ?? 0),
        untilMs: nowMs + leaseMs * PROMISE_LEASES,
      });
      return { isPromised: true, renewedAgeMs };
    },
  };
};

export default createWitness;
