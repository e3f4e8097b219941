import { expect } from 'chai';
import fc from 'fast-check';
import containsMajorityOf from './containsMajorityOf';
import isKeyConfigurationFresh from './isKeyConfigurationFresh';
import computeOutageProvenAtMs from './computeOutageProvenAtMs';
import type PlatformReachReport from './platformReachReport';
import chooseWriteWitnesses from './chooseWriteWitnesses';

const MAX_UNCONFIRMED_MS = 4_500;
const MAX_WITHDRAWAL_DELAY_MS = 5_000;
const STEP_MS = 250;
const DATA_CENTRES = new Map([
  ['north', ['n1', 'n2', 'n3']],
  ['south', ['s1', 's2']],
]);
const VMS = [...DATA_CENTRES.values()].flat();
const NEVER_AT_MS = Number.NEGATIVE_INFINITY;

interface ModelVm {
  id: string;
  isPaused: boolean;
  reachesPlatform: boolean;
  revision: number;
  notifiedRevision: number;
  notifiedAtMs: number;
  confirmedAtMs: number;
  outageAtMs: number;
}

const stepArbitrary = fc.record({
  action: fc.constantFrom(
    'losePlatform',
    'regainPlatform',
    'pause',
    'resume',
    'isolate',
    'reconnect',
    'partition',
    'withdraw',
  ),
  vm: fc.nat({ max: VMS.length - 1 }),
  scope: fc.constantFrom('vm', 'dataCentre', 'fleet'),
  repeats: fc.integer({ min: 1, max: 24 }),
  answerDelaySteps: fc.constantFrom(0, 0, 0, 1, 8),
});

type Step = typeof stepArbitrary extends fc.Arbitrary<infer Value> ? Value : never;

const witnesses = new Map(
  [...DATA_CENTRES].map(([name, ids]) => [name, chooseWriteWitnesses(ids, name)]),
);
const findDataCentre = (id: string): string => (id.startsWith('n') ? 'north' : 'south');

interface Outcome {
  /** Longest time after a confirmed withdrawal at which a VM still accepted the key. */
  longestDelayMs: number;
  /** Number of VMs that accept keys at the end. */
  acceptingVms: number;
}

/** Simulates VMs under network partitions, pauses and platform outages. */
const runFleet = (steps: readonly Step[]): Outcome => {
  let nowMs = 100_000;
  let platformRevision = 1;
  let confirmedWithdrawalAtMs = NEVER_AT_MS;
  let withdrawnRevision = 0;
  let longestDelayMs = NEVER_AT_MS;
  const isolated = new Set<string>();
  let isPartitioned = false;
  let inFlight: { dueAtMs: number; target: ModelVm; deliver(): void }[] = [];
  const vms: ModelVm[] = VMS.map((id) => ({
    id,
    isPaused: false,
    reachesPlatform: true,
    revision: 1,
    notifiedRevision: 0,
    notifiedAtMs: NEVER_AT_MS,
    confirmedAtMs: nowMs,
    outageAtMs: NEVER_AT_MS,
  }));

  const areConnected = (a: ModelVm, b: ModelVm): boolean => {
    if (a === b) return true;
    if (a.isPaused || b.isPaused || isolated.has(a.id) || isolated.has(b.id)) return false;
    return !isPartitioned || findDataCentre(a.id) === findDataCentre(b.id);
  };

  const listTargets = (chosen: ModelVm, scope: Step['scope']): ModelVm[] => {
    if (scope === 'vm') return [chosen];
    if (scope === 'fleet') return vms;
    return vms.filter(({ id }) => findDataCentre(id) === findDataCentre(chosen.id));
  };

  const deliverLater = (target: ModelVm, delaySteps: number, deliver: () => void): void => {
    inFlight.push({ dueAtMs: nowMs + delaySteps * STEP_MS, target, deliver });
  };

  const createReport = (vm: ModelVm): PlatformReachReport => ({
    reachedAgeMs: nowMs - Math.max(vm.confirmedAtMs, vm.notifiedAtMs),
    revision: Math.max(vm.revision, vm.notifiedRevision),
    uptimeMs: nowMs,
  });

  const confirm = (vm: ModelVm, delaySteps: number): void => {
    if (vm.isPaused || !vm.reachesPlatform) return;
    const [askedAtMs, revision] = [nowMs, platformRevision];
    deliverLater(vm, delaySteps, () => {
      Object.assign(vm, { revision: Math.max(vm.revision, revision) });
      Object.assign(vm, { confirmedAtMs: Math.max(vm.confirmedAtMs, askedAtMs) });
    });
  };

  const follow = (vm: ModelVm, source: ModelVm, delaySteps: number): void => {
    if (vm === source || !areConnected(vm, source)) return;
    const sourceTimes = { confirmed: source.confirmedAtMs, outage: source.outageAtMs };
    const { revision } = source;
    deliverLater(vm, delaySteps, () => {
      Object.assign(vm, { revision: Math.max(vm.revision, revision) });
      Object.assign(vm, { confirmedAtMs: Math.max(vm.confirmedAtMs, sourceTimes.confirmed) });
      Object.assign(vm, { outageAtMs: Math.max(vm.outageAtMs, sourceTimes.outage) });
    });
  };

  const askWitnesses = (vm: ModelVm, delaySteps: number): void => {
    if (vm.isPaused) return;
    const askedAtMs = nowMs;
    const answers = vms
      .filter((other) => areConnected(vm, other))
      .map((other) => ({ witness: other.id, askedAtMs, report: createReport(other) }));
    deliverLater(vm, delaySteps, () => {
      const provenAtMs = computeOutageProvenAtMs(witnesses, answers, vm.revision);
      Object.assign(vm, { outageAtMs: Math.max(vm.outageAtMs, provenAtMs ?? NEVER_AT_MS) });
    });
  };

  const withdraw = (vm: ModelVm): void => {
    if (vm.isPaused || !vm.reachesPlatform) return;
    platformRevision += 1;
    const ownWitnesses = witnesses.get(findDataCentre(vm.id)) ?? [];
    const notifiedVms = vms.filter(
      (other) => ownWitnesses.includes(other.id) && areConnected(vm, other),
    );
    [vm, ...notifiedVms].forEach((other) => {
      Object.assign(other, { notifiedRevision: platformRevision });
      Object.assign(other, { notifiedAtMs: nowMs });
    });
    const isConfirmed = containsMajorityOf(new Set(notifiedVms.map(({ id }) => id)), ownWitnesses);
    if (!isConfirmed || confirmedWithdrawalAtMs > NEVER_AT_MS) return;
    confirmedWithdrawalAtMs = nowMs;
    withdrawnRevision = platformRevision;
  };

  const isAcceptingKeys = (vm: ModelVm): boolean =>
    !vm.isPaused && isKeyConfigurationFresh({ nowMs, ...vm }, MAX_UNCONFIRMED_MS);

  const advance = (repeat: number, answerDelaySteps: number): void => {
    vms.forEach((vm, position) => {
      confirm(vm, answerDelaySteps);
      follow(vm, vms[(position + repeat + 1) % vms.length] as ModelVm, answerDelaySteps);
      askWitnesses(vm, answerDelaySteps);
    });
    nowMs += STEP_MS;
    const dueMessages = inFlight.filter((item) => item.dueAtMs <= nowMs && !item.target.isPaused);
    inFlight = inFlight.filter((item) => !dueMessages.includes(item));
    dueMessages.forEach(({ deliver }) => deliver());
    const isWithdrawnKeyAccepted = vms.some(
      (vm) => isAcceptingKeys(vm) && vm.revision < withdrawnRevision,
    );
    if (isWithdrawnKeyAccepted)
      longestDelayMs = Math.max(longestDelayMs, nowMs - confirmedWithdrawalAtMs);
  };

  steps.forEach(({ action, vm: index, scope, repeats, answerDelaySteps }) => {
    const chosen = vms[index] as ModelVm;
    const targets = listTargets(chosen, scope);
    if (action === 'partition') isPartitioned = scope !== 'fleet';
    targets.forEach((vm) => {
      if (action === 'losePlatform') Object.assign(vm, { reachesPlatform: false });
      if (action === 'regainPlatform') Object.assign(vm, { reachesPlatform: true });
      if (action === 'isolate' && scope === 'vm') isolated.add(vm.id);
      if (action === 'reconnect') isolated.delete(vm.id);
      if (action === 'pause' && scope === 'vm') Object.assign(vm, { isPaused: true });
      if (action === 'resume') Object.assign(vm, { isPaused: false });
    });
    if (action === 'withdraw') withdraw(chosen);
    for (let repeat = 0; repeat < repeats; repeat += 1) advance(repeat, answerDelaySteps);
  });
  return { longestDelayMs, acceptingVms: vms.filter(isAcceptingKeys).length };
};

describe('isVouched', () => {
  describe('under partitions, pauses, delayed answers and outages', () => {
    it('rejects a withdrawn key on every VM within 5 s of the confirmed withdrawal', () => {
      fc.assert(
        fc.property(fc.array(stepArbitrary, { maxLength: 40 }), (steps) => {
          expect(runFleet(steps).longestDelayMs).to.be.at.most(MAX_WITHDRAWAL_DELAY_MS);
        }),
        { numRuns: 2_000 },
      );
    });
  });

  describe('while no VM reaches the platform', () => {
    it('accepts keys for the whole outage, proven by a majority of the witnesses', () => {
      const outage = Array.from({ length: 40 }, () => ({
        action: 'losePlatform' as const,
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
  const createAnswers = (ids: string[], report: Partial<PlatformReachReport> = {}) =>
    ids.map((witness) => ({
      witness,
      askedAtMs: 90_000,
      report: { reachedAgeMs: 60_000, revision: 7, uptimeMs: 90_000, ...report },
    }));

  it('requires a majority of the witnesses in every data centre', () => {
    expect(computeOutageProvenAtMs(witnesses, createAnswers(VMS), 7)).to.equal(90_000);
    expect(computeOutageProvenAtMs(witnesses, createAnswers(['n1', 'n2', 'n3']), 7)).to.equal(
      undefined,
    );
    expect(computeOutageProvenAtMs(witnesses, createAnswers(['n1', 's1', 's2']), 7)).to.equal(
      undefined,
    );
  });

  it('ignores witnesses that know a later revision, reached the platform or just started', () => {
    expect(computeOutageProvenAtMs(witnesses, createAnswers(VMS), 6)).to.equal(undefined);
    const rejectedReports: Partial<PlatformReachReport>[] = [
      { reachedAgeMs: 100 },
      { uptimeMs: 100 },
    ];
    rejectedReports.forEach((report) =>
      expect(computeOutageProvenAtMs(witnesses, createAnswers(VMS, report), 7)).to.equal(undefined),
    );
  });
});
