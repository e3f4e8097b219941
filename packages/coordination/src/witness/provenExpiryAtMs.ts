import leaseMsWithMargin from './leaseMsWithMargin';
import promiseQuorum from './promiseQuorum';
import type WitnessGroups from './witnessGroups';
import type WitnessPromise from './witnessPromise';

interface ReceivedPromise {
  /** Time of receipt on the asking VM's clock. */
  receivedAtMs: number;
  promise: WitnessPromise;
}

/**
 * Returns when the lease of a VM with these witnesses has certainly expired, on the asking VM's
 * clock; undefined when too few witnesses promised. All answers must come from one round of
 * requests that took less than `leaseMs`, the length of the VM's lease.
 */
const provenExpiryAtMs = (
  groups: WitnessGroups,
  answers: ReadonlyMap<string, ReceivedPromise>,
  leaseMs: number,
): number | undefined => {
  const groupExpiresAtMs = (group: readonly string[]): number => {
    const renewalTimesMs = group.flatMap((witness) => {
      const answer = answers.get(witness);
      return answer?.promise.isPromised ? [answer.receivedAtMs - answer.promise.renewedAgeMs] : [];
    });
    const earliestFirst = renewalTimesMs.sort((a, b) => a - b);
    const quorumRenewedAtMs =
      earliestFirst[promiseQuorum(group.length) - 1] ?? Number.POSITIVE_INFINITY;
    return quorumRenewedAtMs + leaseMsWithMargin(leaseMs);
  };
  if (groups.length === 0) return undefined;
  const expiresAtMs = Math.max(...groups.map(groupExpiresAtMs));
  return Number.isFinite(expiresAtMs) ? expiresAtMs : undefined;
};

export default provenExpiryAtMs;
