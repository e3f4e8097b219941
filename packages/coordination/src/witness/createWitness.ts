import leaseMsWithMargin from './leaseMsWithMargin';
import type LeaseTerm from './leaseTerm';
import effectiveLeaseMs from './effectiveLeaseMs';
import type WitnessPromise from './witnessPromise';

interface WitnessOptions {
  /** Length of this VM's own lease. */
  leaseMs: number;
  startedAtMs: number;
  /** Whether an earlier process of this VM may have made promises. */
  mayHavePromised: boolean;
}

/** A VM counts as alive for this fraction of its lease length after a renewal. */
const ALIVE_RATIO = 0.5;
/** Multiple of the lease length for which a promise lasts, so that it outlives earlier renewals. */
const PROMISE_DURATION_RATIO = 2;

/**
 * The witness role of a VM: it renews leases of other VMs until it promises not to. Promises are
 * kept in memory only, so a process that may have lost some renews no lease until the length of
 * that lease has passed since its start. Each lease counts with its own length.
 */
const createWitness = ({ leaseMs, startedAtMs, mayHavePromised }: WitnessOptions) => {
  const renewals = new Map<string, { term: number; lengthMs: number; atMs: number }>();
  const promises = new Map<string, { term: number; untilMs: number }>();

  const activePromise = (vm: string, nowMs: number) => {
    const promise = promises.get(vm);
    if (promise && nowMs < promise.untilMs) return promise;
    promises.delete(vm);
    return undefined;
  };

  const renewsFromMs = (lengthMs: number): number =>
    mayHavePromised ? startedAtMs + leaseMsWithMargin(lengthMs) : startedAtMs;

  return {
    /** Handles a heartbeat; returns whether it renewed the VM's lease of that term. */
    renew: (vm: string, lease: LeaseTerm, nowMs: number): boolean => {
      const { term } = lease;
      const lengthMs = effectiveLeaseMs(lease, leaseMs);
      const promise = activePromise(vm, nowMs);
      if (nowMs < renewsFromMs(lengthMs) || (promise && term <= promise.term)) return false;
      renewals.set(vm, { term, lengthMs, atMs: nowMs });
      return true;
    },
    /** Promises not to renew the VM's leases up to `term`; refuses while the VM counts as alive. */
    promise: (vm: string, lease: LeaseTerm, nowMs: number): WitnessPromise => {
      const { term } = lease;
      const lastRenewal = renewals.get(vm);
      const renewedAgeMs = nowMs - (lastRenewal?.atMs ?? startedAtMs);
      const isRenewedTerm = lastRenewal && lastRenewal.term <= term;
      const earlierPromise = activePromise(vm, nowMs);
      if (!earlierPromise && isRenewedTerm && renewedAgeMs < lastRenewal.lengthMs * ALIVE_RATIO) {
        return { isPromised: false, renewedAgeMs };
      }
      const lengthMs = Math.max(effectiveLeaseMs(lease, leaseMs), lastRenewal?.lengthMs ?? 0);
      const untilMs = nowMs + lengthMs * PROMISE_DURATION_RATIO;
      promises.set(vm, {
        term: Math.max(term, earlierPromise?.term ?? 0),
        untilMs: Math.max(untilMs, earlierPromise?.untilMs ?? 0),
      });
      return { isPromised: true, renewedAgeMs };
    },
  };
};

export default createWitness;
