import { expect } from 'chai';
import fc from 'fast-check';
import createQuotaConsumer from './createQuotaConsumer';
import createQuotaAllocator from './createQuotaAllocator';
import type QuotaGrant from './quotaGrant';
import type QuotaConsumer from './quotaConsumer';
import type QuotaReport from './quotaReport';
import createVmLease from '../witness/createVmLease';
import WHOLE_UNITS from './wholeUnits';

const LEASE_MS = 2_000;
const VMS = ['vm-1', 'vm-2', 'vm-3'];

type Step =
  | { kind: 'wait'; waitMs: number }
  | { kind: 'request'; vm: number; count: number }
  | { kind: 'sync'; vm: number; neededTokens: number }
  | { kind: 'deliver'; index: number; isDuplicate: boolean; waiting: number }
  | { kind: 'lose'; index: number }
  | { kind: 'release'; vm: number; partUnits: number; waiting: number }
  | { kind: 'restart'; vm: number }
  | { kind: 'confirm' }
  | { kind: 'limit'; isLarge: boolean };

const vm = fc.nat(VMS.length);
const index = fc.nat(20);
const partUnits = fc.constantFrom(0, 200_000, WHOLE_UNITS);
const waiting = fc.nat(2);
const stepArbitrary: fc.Arbitrary<Step> = fc.oneof(
  fc.record({ kind: fc.constant('wait' as const), waitMs: fc.constantFrom(1, 20, 300, 3_500) }),
  fc.record({ kind: fc.constant('request' as const), vm, count: fc.integer({ min: 1, max: 40 }) }),
  fc.record({ kind: fc.constant('sync' as const), vm, neededTokens: fc.constantFrom(0, 1, 20) }),
  fc.record({ kind: fc.constant('deliver' as const), index, isDuplicate: fc.boolean(), waiting }),
  fc.record({ kind: fc.constant('lose' as const), index }),
  fc.record({ kind: fc.constant('release' as const), vm, partUnits, waiting }),
  fc.record({ kind: fc.constant('restart' as const), vm }),
  fc.constant({ kind: 'confirm' as const }),
  fc.record({ kind: fc.constant('limit' as const), isLarge: fc.boolean() }),
);

const SMALL_LIMIT = { ratePerS: 20, burst: 10 };
const LARGE_LIMIT = { ratePerS: 100, burst: 40 };

/** An allocator and consumers on a network that delays, reorders, duplicates and loses messages. */
const createModel = () => {
  let nowMs = 0;
  let limit = LARGE_LIMIT;
  let incarnation = 1;
  const admittedAtMs: number[] = [];
  const network: (
    { to: 'keeper'; sync: QuotaReport } | { to: QuotaConsumer; grant: QuotaGrant }
  )[] = [];
  // Without witnesses the VMs' own leases never expire.
  const lease = createVmLease(LEASE_MS);
  lease.setRecord({ term: 1, groups: [] }, nowMs);
  const allocator = createQuotaAllocator({
    lease,
    former: new Set(),
    limit,
    epoch: 1,
    unreportedVms: new Set(),
    initialUnits: 0,
    initialTokens: 0,
    leaseMs: LEASE_MS,
    unreportedExpireAtMs: 0,
    nowMs,
  });
  const startConsumer = (name: string): QuotaConsumer =>
    createQuotaConsumer({
      share: 'a',
      vm: name,
      incarnation,
      limit,
      leaseMs: LEASE_MS,
      lease,
      nowMs,
    });
  const consumers = VMS.map(startConsumer);
  const allBuckets = () => [allocator, ...consumers];

  const deliver = (position: number, isDuplicate: boolean, waitingRequests = 0): void => {
    const messageIndex = position % Math.max(1, network.length);
    const message = network[messageIndex];
    if (!message) return;
    if (!isDuplicate) network.splice(messageIndex, 1);
    if (message.to !== 'keeper') {
      message.to.applyGrant(message.grant, nowMs);
      return;
    }
    const sender = consumers[VMS.indexOf(message.sync.vm)];
    const grant = allocator.handleReport(message.sync, nowMs, waitingRequests);
    if (sender) network.push({ to: sender, grant });
  };

  const sync = (vmIndex: number, neededTokens: number): void => {
    const consumer = consumers[vmIndex % VMS.length];
    if (consumer) network.push({ to: 'keeper', sync: consumer.report(1, neededTokens, nowMs) });
  };

  const run = (step: Step): void => {
    if (step.kind === 'wait') nowMs += step.waitMs;
    if (step.kind === 'sync') sync(step.vm, step.neededTokens);
    if (step.kind === 'deliver') deliver(step.index, step.isDuplicate, step.waiting);
    if (step.kind === 'lose') network.splice(step.index, 1);
    if (step.kind === 'release') {
      consumers[step.vm % VMS.length]?.release(nowMs, step.partUnits, step.waiting);
    }
    if (step.kind === 'confirm') allocator.confirmEpoch(nowMs, nowMs);
    if (step.kind === 'limit') {
      limit = step.isLarge ? LARGE_LIMIT : SMALL_LIMIT;
      allBuckets().forEach((bucket) => bucket.setLimit(limit, nowMs));
    }
    if (step.kind === 'restart') {
      incarnation += 1;
      consumers[step.vm % VMS.length] = startConsumer(VMS[step.vm % VMS.length] ?? '');
    }
    if (step.kind === 'request') {
      const actor = allBuckets()[step.vm];
      for (let count = 0; count < step.count; count += 1) {
        actor?.count(nowMs);
        if (actor?.take(nowMs)) admittedAtMs.push(nowMs);
      }
    }
  };

  const runFaultlessRound = (): void => {
    nowMs += LEASE_MS;
    VMS.forEach((_, vmIndex) => {
      consumers[vmIndex]?.release(nowMs);
      sync(vmIndex, 0);
    });
    while (network.length > 0) deliver(0, false);
    allocator.confirmEpoch(nowMs, nowMs);
  };

  /** Runs rounds without faults: every consumer reports and every message arrives. */
  const recover = (): void => {
    network.splice(0);
    for (let round = 0; round < 8; round += 1) runFaultlessRound();
  };

  const unitsInUse = () =>
    allocator.units(nowMs) + consumers.reduce((sum, consumer) => sum + consumer.units(nowMs), 0);
  return { run, recover, unitsInUse, keeper: allocator, admittedAtMs };
};

const expectWithinLimit = (admittedAtMs: number[]): void => {
  admittedAtMs.forEach((fromMs, from) => {
    for (let to = from; to < admittedAtMs.length; to += 1) {
      const windowMs = (admittedAtMs[to] ?? 0) - fromMs;
      const bound = LARGE_LIMIT.burst + (LARGE_LIMIT.ratePerS * windowMs) / 1_000;
      const admitted = to - from + 1;
      if (admitted > bound + 1e-6) expect(admitted, `in ${windowMs} ms`).to.be.at.most(bound);
    }
  });
};

describe('transfers of quota units', () => {
  describe('with lost, repeated and reordered messages, pauses, restarts and limit changes', () => {
    it('never admit more than the burst and the rate in any window', () => {
      fc.assert(
        fc.property(fc.array(stepArbitrary, { minLength: 30, maxLength: 200 }), (steps) => {
          const model = createModel();
          steps.forEach((step) => {
            model.run(step);
          });
          expectWithinLimit(model.admittedAtMs);
        }),
        { numRuns: 500 },
      );
    });

    it('lose no unit permanently', () => {
      fc.assert(
        fc.property(fc.array(stepArbitrary, { minLength: 10, maxLength: 100 }), (steps) => {
          const model = createModel();
          steps.forEach((step) => {
            model.run(step);
          });
          model.recover();
          expect(model.unitsInUse()).to.equal(1_000_000);
        }),
        { numRuns: 200 },
      );
    });
  });
});
