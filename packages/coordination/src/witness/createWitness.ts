import certainLeaseMs from './certainLeaseMs';
import type LeaseTerm from './leaseTerm';
import reckonedLeaseMs from './reckonedLeaseMs';
import type WitnessPromise from './witnessPromise';

interface WitnessOptions {
  /** The length of this VM's own lease. */
  leaseMs: number;
  startedAtMs: number;
  /** Whether an earlier process of this VM may have made promises. */
  mayHavePromised: boolean;
}

/** A VM renewed less than this part of a lease ago counts as alive. */
const ALIVE_RATIO = 0.5;
/** A promise lives longer than any lease renewed before it. */
const PROMISE_LEASES = 2;

/**
 * A VM's part as a witness: it renews the leases of other VMs until it promises not to.
 * Promises are kept in memory only; a process that may have lost some renews no lease until
 * its length has passed. Leases of different lengths are each reckoned with their own.
 */
const createWitness = ({ leaseMs, startedAtMs, mayHavePromised }: WitnessOptions) => {
  const renewals = new Map<string, { term: number; lengthMs: number; atMs: number }>();
  const promises = new Map<string, { term: number; untilMs: number }>();

  const promised = (vm: string, nowMs: number) => {
    const found = promises.get(vm);
    if (found && nowMs < found.untilMs) return found;
    promises.delete(vm);
    return undefined;
  };

  const opensAtMs = (lengthMs: number): number =>
    mayHavePromised ? startedAtMs + certainLeaseMs(lengthMs) : startedAtMs;

  return {
    /** Answers a heartbeat; true renews the lease of that term of the VM. */
    renew: (vm: string, lease: LeaseTerm, nowMs: number): boolean => {
      const { term } = lease;
      const lengthMs = reckonedLeaseMs(lease, leaseMs);
      const promise = promised(vm, nowMs);
      if (nowMs < opensAtMs(lengthMs) || (promise && term <= promise.term)) return false;
      renewals.set(vm, { term, lengthMs, atMs: nowMs });
      return true;
    },
    /** Promises to renew no lease of the VM's terms up to `term`, unless it is alive. */
    promise: (vm: string, lease: LeaseTerm, nowMs: number): WitnessPromise => {
      const { term } = lease;
      const last = renewals.get(vm);
      const renewedAgeMs = nowMs - (last?.atMs ?? startedAtMs);
      const isAlive = last && last.term <= term;
      const earlier = promised(vm, nowMs);
      if (!earlier && isAlive && renewedAgeMs < last.lengthMs * ALIVE_RATIO) {
        return { isPromised: false, renewedAgeMs };
      }
      const lengthMs = Math.max(reckonedLeaseMs(lease, leaseMs), last?.lengthMs ?? 0);
      const untilMs = nowMs + lengthMs * PROMISE_LEASES;
      promises.set(vm, {
        term: Math.max(term, earlier?.term ?? 0),
        untilMs: Math.max(untilMs, earlier?.untilMs ?? 0),
      });
      return { isPromised: true, renewedAgeMs };
    },
  };
};

export default createWitness;
