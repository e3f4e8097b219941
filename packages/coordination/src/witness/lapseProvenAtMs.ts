import certainLeaseMs from './certainLeaseMs';
import promiseQuorum from './promiseQuorum';
import type WitnessGroups from './witnessGroups';
import type WitnessPromise from './witnessPromise';

interface Answer {
  /** The asking VM's clock when the answer came. */
  receivedAtMs: number;
  promise: WitnessPromise;
}

/**
 * When the lease of a VM with these witnesses has certainly lapsed, on the asking VM's clock;
 * undefined when too few promised. The answers must come from one round shorter than the VM's lease, whose length is `leaseMs`.
 */
const lapseProvenAtMs = (
  groups: WitnessGroups,
  answers: ReadonlyMap<string, Answer>,
  leaseMs: number,
): number | undefined => {
  const groupLapsesAtMs = (group: readonly string[]): number => {
    const renewedAtMs = group.flatMap((witness) => {
      const answer = answers.get(witness);
      return answer?.promise.isPromised ? [answer.receivedAtMs - answer.promise.renewedAgeMs] : [];
    });
    const earliestFirst = renewedAtMs.sort((a, b) => a - b);
    const last = earliestFirst[promiseQuorum(group.length) - 1] ?? Number.POSITIVE_INFINITY;
    return last + certainLeaseMs(leaseMs);
  };
  if (groups.length === 0) return undefined;
  const lapsesAtMs = Math.max(...groups.map(groupLapsesAtMs));
  return Number.isFinite(lapsesAtMs) ? lapsesAtMs : undefined;
};

export default lapseProvenAtMs;
