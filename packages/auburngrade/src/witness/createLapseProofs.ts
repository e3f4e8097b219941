import {
  lapseProvenAtMs,
  witnessPromiseSchema,
  type WitnessGroups,
  type WitnessPromise,
} from '@auburngrade/coordination';
import { z } from 'zod';
import sleep from '../time/sleep';
import type createLeaseRecords from './createLeaseRecords';
import type SendMessage from './sendMessage';

interface LapseProofOptions {
  vm: string;
  leaseMs: number;
  records: ReturnType<typeof createLeaseRecords>;
  /** This VM's own answer as a witness. */
  promise(vm: string, incarnation: number): WitnessPromise;
  send: SendMessage;
  nowMs(): number;
}

const PROMISE_KIND = 'lease.promise';
const PROMISE_TIMEOUT_MS = 300;

const promiseRequestSchema = z.strictObject({
  vm: z.string().min(1),
  incarnation: z.number().int().nonnegative(),
});

/** Shows that the lease of a silent VM has lapsed, by promises of its witnesses. */
const createLapseProofs = (options: LapseProofOptions) => {
  const { vm, leaseMs, records, promise, send, nowMs } = options;
  const underWay = new Map<string, Promise<boolean>>();

  const askOne = async (witness: string, target: string, incarnation: number) => {
    if (witness === vm) return promise(target, incarnation);
    const body = { vm: target, incarnation };
    return witnessPromiseSchema.parse(await send(witness, PROMISE_KIND, body, PROMISE_TIMEOUT_MS));
  };

  const askAll = async (
    target: string,
    incarnation: number,
    groups: WitnessGroups,
  ): Promise<number | undefined> => {
    const answers = new Map<string, { receivedAtMs: number; promise: WitnessPromise }>();
    const askedAtMs = nowMs();
    const ask = async (witness: string): Promise<void> => {
      const answer = await askOne(witness, target, incarnation);
      answers.set(witness, { receivedAtMs: nowMs(), promise: answer });
    };
    await Promise.allSettled([...new Set(groups.flat())].map(ask));
    // A round that a pause drew out may hold promises that have ended.
    if (nowMs() - askedAtMs > leaseMs) return undefined;
    return lapseProvenAtMs(groups, answers, leaseMs);
  };

  const askAndWait = async (
    target: string,
    incarnation: number,
    groups: WitnessGroups,
  ): Promise<boolean> => {
    const lapsesAtMs = await askAll(target, incarnation, groups);
    if (lapsesAtMs === undefined) return false;
    await sleep(lapsesAtMs - nowMs());
    while (nowMs() < lapsesAtMs) await sleep(1);
    return true;
  };

  /**
   * Resolves with true once the lease of that process has certainly lapsed, and with false when
   * its witnesses don't show that. One round serves all that ask about the VM meanwhile.
   */
  const prove = (target: string, incarnation: number, groups: WitnessGroups): Promise<boolean> => {
    const name = JSON.stringify([target, incarnation, groups]);
    const known = underWay.get(name);
    if (known) return known;
    const work = askAndWait(target, incarnation, groups).finally(() => underWay.delete(name));
    underWay.set(name, work);
    return work;
  };

  return {
    kind: PROMISE_KIND,
    parse: (body: unknown) => promiseRequestSchema.parse(body),
    prove,
    /**
     * The same by the VM's record at the platform, whichever process it is; a VM without a
     * record, or whose record changed meanwhile, has nothing left of before.
     */
    proveByRecord: async (target: string): Promise<boolean> => {
      const before = await records.read(target);
      if (!before) return true;
      const isProven = await prove(target, before.record.incarnation, before.record.groups);
      const after = await records.read(target);
      return after?.revision !== before.revision || isProven;
    },
  };
};

export default createLapseProofs;
