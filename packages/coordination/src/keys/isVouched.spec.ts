import { expect } from 'chai';
import fc from 'fast-check';
import isMajorityOf from './isMajorityOf';
import isVouched from './isVouched';
import outageProvenAtMs from './outageProvenAtMs';
import type ReachReport from './reachReport';
import witnessesOf from './witnessesOf';

const MAX_UNCONFIRMED_MS = 4_500;
const DEAD_WITHIN_MS = 5_000;
const STEP_MS = 250;
const DATA_CENTRES = new Map([
  ['north', ['n1', 'n2', 'n3']],
  ['south', ['s1', 's2']],
]);
const VMS = [...DATA_CENTRES.values()].flat();
const NEVER_MS = Number.NEGATIVE_INFINITY;

interface ModelVm {
  id: string;
  isPaused: boolean;
  reachesPlatform: boolean;
  revision: number;
  noticedRevision: number;
  noticedAtMs: number;
  confirmedAtMs: number;
  outageAtMs: number;
}

const stepArbitrary = fc.record({
  action: fc.constantFrom('cut', 'heal', 'pause', 'wake', 'isolate', 'join', 'split', 'withdraw'),
  vm: fc.nat({ max: VMS.length - 1 }),
  scope: fc.constantFrom('vm', 'dataCentre', 'fleet'),
  repeats: fc.integer({ min: 1, max: 24 }),
  answerDelaySteps: fc.constantFrom(0, 0, 0, 1, 8),
});

type Step = typeof stepArbitrary extends fc.Arbitrary<infer Value> ? Value : never;

const witnesses = new Map([...DATA_CENTRES].map(([name, ids]) => [name, witnessesOf(ids, name)]));
const dataCentreOf = (id: string): string => (id.startsWith('n') ? 'north' : 'south');

interface Outcome {
  /** Longest time after a confirmed withdrawal at which a VM accepted the key. */
  worstAgeMs: number;
  /** VMs that accept keys at the end. */
  acceptingVms: number;
}

/** Runs VMs under cuts, pauses and outages. */
const runFleet = (steps: readonly Step[]): Outcome => {
  let nowMs = 100_000;
  let platformRevision = 1;
  let confirmedWithdrawalAtMs = NEVER_MS;
  let withdrawnRevision = 0;
  let worst = NEVER_MS;
  const isolated = new Set<string>();
  let isSplit = false;
  let inFlight: { dueAtMs: number; target: ModelVm; deliver(): void }[] = [];
  const vms: ModelVm[] = VMS.map((id) => ({
    id,
    isPaused: false,
    reachesPlatform: true,
    revision: 1,
    noticedRevision: 0,
    noticedAtMs: NEVER_MS,
    confirmedAtMs: nowMs,
    outageAtMs: NEVER_MS,
  }));

  const linked = (a: ModelVm, b: ModelVm): boolean => {
    if (a === b) return true;
    if (a.isPaused || b.isPaused || isolated.has(a.id) || isolated.has(b.id)) return false;
    return !isSplit || dataCentreOf(a.id) === dataCentreOf(b.id);
  };

  const targetsOf = (chosen: ModelVm, scope: Step['scope']): ModelVm[] => {
    if (scope === 'vm') return [chosen];
    if (scope === 'fleet') return vms;
    return vms.filter(({ id }) => dataCentreOf(id) === dataCentreOf(chosen.id));
  };

  const later = (target: ModelVm, delaySteps: number, deliver: () => void): void => {
    inFlight.push({ dueAtMs: nowMs + delaySteps * STEP_MS, target, deliver });
  };

  const reportOf = (vm: ModelVm): ReachReport => ({
    reachedAgeMs: nowMs - Math.max(vm.confirmedAtMs, vm.noticedAtMs),
    revision: Math.max(vm.revision, vm.noticedRevision),
    uptimeMs: nowMs,
  });

  const confirm = (vm: ModelVm, delaySteps: number): void => {
    if (vm.isPaused || !vm.reachesPlatform) return;
    const [askedAtMs, revision] = [nowMs, platformRevision];
    later(vm, delaySteps, () => {
      Object.assign(vm, { revision: Math.max(vm.revision, revision) });
      Object.assign(vm, { confirmedAtMs: Math.max(vm.confirmedAtMs, askedAtMs) });
    });
  };

  const follow = (vm: ModelVm, source: ModelVm, delaySteps: number): void => {
    if (vm === source || !linked(vm, source)) return;
    const provedAtMs = { confirmed: source.confirmedAtMs, outage: source.outageAtMs };
    const { revision } = source;
    later(vm, delaySteps, () => {
      Object.assign(vm, { revision: Math.max(vm.revision, revision) });
      Object.assign(vm, { confirmedAtMs: Math.max(vm.confirmedAtMs, provedAtMs.confirmed) });
      Object.assign(vm, { outageAtMs: Math.max(vm.outageAtMs, provedAtMs.outage) });
    });
  };

  const askWitnesses = (vm: ModelVm, delaySteps: number): void => {
    if (vm.isPaused) return;
    const askedAtMs = nowMs;
    const answers = vms
      .filter((other) => linked(vm, other))
      .map((other) => ({ witness: other.id, askedAtMs, report: reportOf(other) }));
    later(vm, delaySteps, () => {
      const provenAtMs = outageProvenAtMs(witnesses, answers, vm.revision);
      Object.assign(vm, { outageAtMs: Math.max(vm.outageAtMs, provenAtMs ?? NEVER_MS) });
    });
  };

  const withdraw = (vm: ModelVm): void => {
    if (vm.isPaused || !vm.reachesPlatform) return;
    platformRevision += 1;
    const own = witnesses.get(dataCentreOf(vm.id)) ?? [];
    const told = vms.filter((other) => own.includes(other.id) && linked(vm, other));
    [vm, ...told].forEach((other) => {
      Object.assign(other, { noticedRevision: platformRevision });
      Object.assign(other, { noticedAtMs: nowMs });
    });
    const isConfirmed = isMajorityOf(new Set(told.map(({ id }) => id)), own);
    if (!isConfirmed || confirmedWithdrawalAtMs > NEVER_MS) return;
    confirmedWithdrawalAtMs = nowMs;
    withdrawnRevision = platformRevision;
  };

  const isServing = (vm: ModelVm): boolean =>
    !vm.isPaused && isVouched({ nowMs, ...vm }, MAX_UNCONFIRMED_MS);

  const advance = (repeat: number, answerDelaySteps: number): void => {
    vms.forEach((vm, position) => {
      confirm(vm, answerDelaySteps);
      follow(vm, vms[(position + repeat + 1) % vms.length] as ModelVm, answerDelaySteps);
      askWitnesses(vm, answerDelaySteps);
    });
    nowMs += STEP_MS;
    const due = inFlight.filter((item) => item.dueAtMs <= nowMs && !item.target.isPaused);
    inFlight = inFlight.filter((item) => !due.includes(item));
    due.forEach(({ deliver }) => deliver());
    const isWrong = vms.some((vm) => isServing(vm) && vm.revision < withdrawnRevision);
    if (isWrong) worst = Math.max(worst, nowMs - confirmedWithdrawalAtMs);
  };

  steps.forEach(({ action, vm: index, scope, repeats, answerDelaySteps }) => {
    const chosen = vms[index] as ModelVm;
    const targets = targetsOf(chosen, scope);
    if (action === 'split') isSplit = scope !== 'fleet';
    targets.forEach((vm) => {
      if (action === 'cut') Object.assign(vm, { reachesPlatform: false });
      if (action === 'heal') Object.assign(vm, { reachesPlatform: true });
      if (action === 'isolate' && scope === 'vm') isolated.add(vm.id);
      if (action === 'join') isolated.delete(vm.id);
      if (action === 'pause' && scope === 'vm') Object.assign(vm, { isPaused: true });
      if (action === 'wake') Object.assign(vm, { isPaused: false });
    });
    if (action === 'withdraw') withdraw(chosen);
    for (let repeat = 0; repeat < repeats; repeat += 1) advance(repeat, answerDelaySteps);
  });
  return { worstAgeMs: worst, acceptingVms: vms.filter(isServing).length };
};

describe('isVouched', () => {
  describe('over cuts, pauses, late answers and outages', () => {
    it('accepts no key withdrawn longer ago than the bound', () => {
      fc.assert(
        fc.property(fc.array(stepArbitrary, { maxLength: 40 }), (steps) => {
          expect(runFleet(steps).worstAgeMs).to.be.at.most(DEAD_WITHIN_MS);
        }),
        { numRuns: 2_000 },
      );
    });
  });

  describe('while no VM reaches the platform', () => {
    it('stays vouched by a majority of the witnesses, however long the outage', () => {
      const outage = Array.from({ length: 40 }, () => ({
        action: 'cut' as const,
        vm: 0,
        scope: 'fleet' as const,
        repeats: 12,
        answerDelaySteps: 0 as const,
      }));
      expect(runFleet(outage).acceptingVms).to.equal(VMS.length);
    });
  });
});

describe('outageProvenAtMs', () => {
  const answersOf = (ids: string[], report: Partial<ReachReport> = {}) =>
    ids.map((witness) => ({
      witness,
      askedAtMs: 90_000,
      report: { reachedAgeMs: 60_000, revision: 7, uptimeMs: 90_000, ...report },
    }));

  it('needs a majority in every data centre', () => {
    expect(outageProvenAtMs(witnesses, answersOf(VMS), 7)).to.equal(90_000);
    expect(outageProvenAtMs(witnesses, answersOf(['n1', 'n2', 'n3']), 7)).to.equal(undefined);
    expect(outageProvenAtMs(witnesses, answersOf(['n1', 's1', 's2']), 7)).to.equal(undefined);
  });

  it('leaves out witnesses that know more, heard of the platform or just started', () => {
    expect(outageProvenAtMs(witnesses, answersOf(VMS), 6)).to.equal(undefined);
    const refused: Partial<ReachReport>[] = [{ reachedAgeMs: 100 }, { uptimeMs: 100 }];
    refused.forEach((report) =>
      expect(outageProvenAtMs(witnesses, answersOf(VMS, report), 7)).to.equal(undefined),
    );
  });
});
