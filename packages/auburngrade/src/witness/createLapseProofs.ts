import {
  lapseProvenAtMs,
  leaseTermSchema,
  reckonedLeaseMs,
  witnessPromiseSchema,
  type LeaseRecord,
  type LeaseTerm,
  type WitnessPromise,
} from '@auburngrade/coordination';
import { z } from 'zod';
import sleep from '../time/sleep';
import type createLeaseRecords from './createLeaseRecords';
import type SendMessage from '../membership/sendMessage';

interface LapseProofOptions {
  vm: string;
  /** The length of this VM's own lease. */
  leaseMs: number;
  records: ReturnType<typeof createLeaseRecords>;
  /** This VM's own answer as a witness. */
  promise(vm: string, lease: LeaseTerm): WitnessPromise;
  send: SendMessage;
  nowMs(): number;
}

const PROMISE_KIND = 'lease.promise';
const PROMISE_TIMEOUT_MS = 300;

const promiseRequestSchema = leaseTermSchema.extend({ vm: z.string().min(1) });

/** Shows that the lease of a silent VM has lapsed, by promises of its witnesses. */
const createLapseProofs = (options: LapseProofOptions) => {
  const { vm, leaseMs, records, promise, send, nowMs } = options;
  const underWay = new Map<string, Promise<boolean>>();

  const askOne = async (witness: string, target: string, lease: LeaseTerm) => {
    if (witness === vm) return promise(target, lease);
    const body = { vm: target, ...lease };
    return witnessPromiseSchema.parse(await send(witness, PROMISE_KIND, body, PROMISE_TIMEOUT_MS));
  };

  const askAll = async (
    target: string,
    { groups, ...lease }: LeaseRecord,
  ): Promise<number | undefined> => {
    const answers = new Map<string, { receivedAtMs: number; promise: WitnessPromise }>();
    const askedAtMs = nowMs();
    const ask = async (witness: string): Promise<void> => {
      const answer = await askOne(witness, target, lease);
      answers.set(witness, { receivedAtMs: nowMs(), promise: answer });
    };
    await Promise.allSettled([...new Set(groups.flat())].map(ask));
    // A round that a pause drew out may hold promises that have ended.
    const lengthMs = reckonedLeaseMs(lease, leaseMs);
    if (nowMs() - askedAtMs > lengthMs) return undefined;
    return lapseProvenAtMs(groups, answers, lengthMs);
  };

  const askAndWait = async (target: string, lease: LeaseRecord): Promise<boolean> => {
    const lapsesAtMs = await askAll(target, lease);
    if (lapsesAtMs === undefined) return false;
    await sleep(lapsesAtMs - nowMs());
    while (nowMs() < lapsesAtMs) await sleep(1);
    return true;
  };

  /**
   * Resolves with true once the lease of that term has certainly lapsed, and with false when
   * its witnesses don't show that. One round serves all that ask about the VM meanwhile.
   */
  const prove = (target: string, lease: LeaseRecord): Promise<boolean> => {
    const name = JSON.stringify([target, lease]);
    const known = underWay.get(name);
    if (known) return known;
    const work = askAndWait(target, lease).finally(() => underWay.delete(name));
    underWay.set(name, work);
    return work;
  };

  return {
    kind: PROMISE_KIND,
    parse: (body: unknown) => promiseRequestSchema.parse(body),
    prove,
    /**
     * The same by the VM's record at the platform; a VM without a
     * record, or whose record changed meanwhile, has nothing left of before.
     */
    proveByRecord: async (target: string): Promise<boolean> => {
      const before = await records.read(target);
      if (!before) return true;
      const isProven = await prove(target, before.record);
      const after = await records.read(target);
      return after?.revision !== before.revision || isProven;
    },
  };
};

export default createLapseProofs;
