import { expect } from 'chai';
import fc from 'fast-check';
import createShareHolder from './createShareHolder';
import createShareKeeper from './createShareKeeper';
import type ShareGrant from './shareGrant';
import type ShareHolder from './shareHolder';
import type ShareSync from './shareSync';
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

const SMALL = { ratePerS: 20, burst: 10 };
const LARGE = { ratePerS: 100, burst: 40 };

/** A keeper and holders joined by a network that delays, reorders, repeats and loses. */
const createModel = () => {
  let nowMs = 0;
  let limit = LARGE;
  let incarnation = 1;
  const admittedAtMs: number[] = [];
  const network: ({ to: 'keeper'; sync: ShareSync } | { to: ShareHolder; grant: ShareGrant })[] =
    [];
  // Without witnesses the VMs' own leases never lapse.
  const lease = createVmLease(LEASE_MS);
  lease.seat({ term: 1, groups: [] }, nowMs);
  const keeper = createShareKeeper({
    lease,
    former: new Set(),
    limit,
    epoch: 1,
    unreported: new Set(),
    ownUnits: 0,
    ownTokens: 0,
    leaseMs: LEASE_MS,
    lapsedAtMs: 0,
    nowMs,
  });
  const startHolder = (name: string): ShareHolder =>
    createShareHolder({
      share: 'a',
      vm: name,
      incarnation,
      limit,
      leaseMs: LEASE_MS,
      lease,
      nowMs,
    });
  const holders = VMS.map(startHolder);
  const all = () => [keeper, ...holders];

  const deliver = (position: number, isDuplicate: boolean, waitingHere = 0): void => {
    const at = position % Math.max(1, network.length);
    const message = network[at];
    if (!message) return;
    if (!isDuplicate) network.splice(at, 1);
    if (message.to !== 'keeper') {
      message.to.accept(message.grant, nowMs);
      return;
    }
    const sender = holders[VMS.indexOf(message.sync.vm)];
    const grant = keeper.sync(message.sync, nowMs, waitingHere);
    if (sender) network.push({ to: sender, grant });
  };

  const sync = (at: number, neededTokens: number): void => {
    const holder = holders[at % VMS.length];
    if (holder) network.push({ to: 'keeper', sync: holder.report(1, neededTokens, nowMs) });
  };

  const run = (step: Step): void => {
    if (step.kind === 'wait') nowMs += step.waitMs;
    if (step.kind === 'sync') sync(step.vm, step.neededTokens);
    if (step.kind === 'deliver') deliver(step.index, step.isDuplicate, step.waiting);
    if (step.kind === 'lose') network.splice(step.index, 1);
    if (step.kind === 'release') {
      holders[step.vm % VMS.length]?.release(nowMs, step.partUnits, step.waiting);
    }
    if (step.kind === 'confirm') keeper.confirm(nowMs, nowMs);
    if (step.kind === 'limit') {
      limit = step.isLarge ? LARGE : SMALL;
      all().forEach((one) => one.setLimit(limit, nowMs));
    }
    if (step.kind === 'restart') {
      incarnation += 1;
      holders[step.vm % VMS.length] = startHolder(VMS[step.vm % VMS.length] ?? '');
    }
    if (step.kind === 'request') {
      const actor = all()[step.vm];
      for (let count = 0; count < step.count; count += 1) {
        actor?.count(nowMs);
        if (actor?.take(nowMs)) admittedAtMs.push(nowMs);
      }
    }
  };

  const calmRound = (): void => {
    nowMs += LEASE_MS;
    VMS.forEach((_, at) => {
      holders[at]?.release(nowMs);
      sync(at, 0);
    });
    while (network.length > 0) deliver(0, false);
    keeper.confirm(nowMs, nowMs);
  };

  /** A time without faults: every holder reports, every message arrives. */
  const calmDown = (): void => {
    network.splice(0);
    for (let round = 0; round < 8; round += 1) calmRound();
  };

  const unitsInUse = () =>
    keeper.units(nowMs) + holders.reduce((sum, holder) => sum + holder.units(nowMs), 0);
  return { run, calmDown, unitsInUse, keeper, admittedAtMs };
};

const expectWithinLimit = (admittedAtMs: number[]): void => {
  admittedAtMs.forEach((fromMs, from) => {
    for (let to = from; to < admittedAtMs.length; to += 1) {
      const windowMs = (admittedAtMs[to] ?? 0) - fromMs;
      const most = LARGE.burst + (LARGE.ratePerS * windowMs) / 1_000;
      const admitted = to - from + 1;
      if (admitted > most + 1e-6) expect(admitted, `in ${windowMs} ms`).to.be.at.most(most);
    }
  });
};

describe('shares of a rate', () => {
  describe('with losses, repeats, reorders, pauses, restarts and limit changes', () => {
    it('never admits more than the burst and the rate in any window', () => {
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

    it('loses no unit for good', () => {
      fc.assert(
        fc.property(fc.array(stepArbitrary, { minLength: 10, maxLength: 100 }), (steps) => {
          const model = createModel();
          steps.forEach((step) => {
            model.run(step);
          });
          model.calmDown();
          expect(model.unitsInUse()).to.equal(1_000_000);
        }),
        { numRuns: 200 },
      );
    });
  });
});
