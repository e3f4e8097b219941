import {
  provenExpiryAtMs,
  leaseTermSchema,
  effectiveLeaseMs,
  witnessPromiseSchema,
  type LeaseRecord,
  type LeaseTerm,
  type WitnessPromise,
} from '@auburngrade/coordination';
import { z } from 'zod';
import sleep from '../time/sleep';
import type createLeaseRecordStore from './createLeaseRecordStore';
import type SendMessage from '../membership/sendMessage';

interface ExpiryProverOptions {
  vm: string;
  /** Length of this VM's own lease. */
  leaseMs: number;
  records: ReturnType<typeof createLeaseRecordStore>;
  /** Answers for this VM when it is itself a witness of the lease. */
  promise(vm: string, lease: LeaseTerm): WitnessPromise;
  send: SendMessage;
  nowMs(): number;
}

const PROMISE_KIND = 'lease.promise';
const PROMISE_TIMEOUT_MS = 300;

/** A record that is written again after a restore of the store is the same, at another revision. */
const isSameRecord = (before: LeaseRecord, after: LeaseRecord | undefined): boolean =>
  JSON.stringify(before) === JSON.stringify(after);

const promiseRequestSchema = leaseTermSchema.extend({ vm: z.string().min(1) });

/** Creates the prover of expiry: witnesses promise not to renew a VM's lease again. */
const createExpiryProver = (options: ExpiryProverOptions) => {
  const { vm, leaseMs, records, promise, send, nowMs } = options;
  const pendingProofs = new Map<string, Promise<boolean>>();

  const requestPromise = async (witness: string, target: string, lease: LeaseTerm) => {
    if (witness === vm) return promise(target, lease);
    const body = { vm: target, ...lease };
    return witnessPromiseSchema.parse(await send(witness, PROMISE_KIND, body, PROMISE_TIMEOUT_MS));
  };

  const collectPromises = async (
    target: string,
    { groups, ...lease }: LeaseRecord,
  ): Promise<number | undefined> => {
    const answers = new Map<string, { receivedAtMs: number; promise: WitnessPromise }>();
    const askedAtMs = nowMs();
    const collectFrom = async (witness: string): Promise<void> => {
      const answer = await requestPromise(witness, target, lease);
      answers.set(witness, { receivedAtMs: nowMs(), promise: answer });
    };
    await Promise.allSettled([...new Set(groups.flat())].map(collectFrom));
    // After a pause of this process some promises may have expired.
    const targetLeaseMs = effectiveLeaseMs(lease, leaseMs);
    if (nowMs() - askedAtMs > targetLeaseMs) return undefined;
    return provenExpiryAtMs(groups, answers, targetLeaseMs);
  };

  const proveAndWait = async (target: string, lease: LeaseRecord): Promise<boolean> => {
    const expiresAtMs = await collectPromises(target, lease);
    if (expiresAtMs === undefined) return false;
    await sleep(expiresAtMs - nowMs());
    while (nowMs() < expiresAtMs) await sleep(1);
    return true;
  };

  /**
   * Resolves with true once the lease of that term is proven to have expired, and false when
   * its witnesses don't prove it. Concurrent calls for the same lease share one proof.
   */
  const prove = (target: string, lease: LeaseRecord): Promise<boolean> => {
    const proofKey = JSON.stringify([target, lease]);
    const pendingProof = pendingProofs.get(proofKey);
    if (pendingProof) return pendingProof;
    const proof = proveAndWait(target, lease).finally(() => pendingProofs.delete(proofKey));
    pendingProofs.set(proofKey, proof);
    return proof;
  };

  return {
    kind: PROMISE_KIND,
    parse: (body: unknown) => promiseRequestSchema.parse(body),
    prove,
    /**
     * Proves the same for the lease recorded in the configuration store. A VM without a record, or
     * whose record changed meanwhile, has lost whatever it held before. Proves nothing while the store may
     * have lost the record.
     */
    proveByRecord: async (target: string): Promise<boolean> => {
      const before = await records.read(target);
      if (records.mayBeIncomplete()) return false;
      if (!before) return true;
      const isProven = await prove(target, before.record);
      const after = await records.read(target);
      return !isSameRecord(before.record, after?.record) || isProven;
    },
  };
};

export default createExpiryProver;
