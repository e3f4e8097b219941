import { expect } from 'chai';
import fc from 'fast-check';
import createVmLease from '../witness/createVmLease';
import createWitness from '../witness/createWitness';
import provenExpiryAtMs from '../witness/provenExpiryAtMs';
import type LeaseRecord from '../witness/leaseRecord';
import toLeaseTerm from '../witness/toLeaseTerm';
import effectiveLeaseMs from '../witness/effectiveLeaseMs';
import UNSTATED_LEASE_MS from '../witness/unstatedLeaseMs';
import type WitnessPromise from '../witness/witnessPromise';
import chooseWitnessGroups from '../witness/chooseWitnessGroups';
import createQuotaConsumer from './createQuotaConsumer';
import createQuotaAllocator from './createQuotaAllocator';
import type QuotaConsumer from './quotaConsumer';
import type QuotaAllocator from './quotaAllocator';
import WHOLE_UNITS from './wholeUnits';

const LEASE_MS = 1_000;
const SHORT_LEASE_MS = 500;
/** Lease lengths that a VM uses in turn, one for each start; the same for all VMs here. */
const UNIFORM_LEASE_MS = [[LEASE_MS]];
/** Never expires within a test run. */
const LONG_LEASE_MS = 10_000_000;
const ROUND_TIMEOUT_MS = 300;
const LIMIT = { ratePerS: 100, burst: 40 };
const FLEETS = [
  ['a', 'a', 'a', 'a'],
  ['a', 'a', 'b', 'b'],
  ['a', 'b', 'c'],
].map((dataCentres) => dataCentres.map((dataCentre, index) => ({ id: `vm-${index}`, dataCentre })));

/** Whether a request and its answer arrive, are lost or are delayed. */
type Delivery = 'arrives' | 'isLost' | 'isLate' | 'answerIsLost' | 'answerIsLate';

/** A period with partitioned links and paused VMs. */
interface FaultPhase {
  rounds: number;
  /** Bit set of VM pairs. */
  partitionedPairs: number;
  /** Bit set of VMs. */
  pausedVms: number;
  /** VM that crashes and restarts without its memory when the phase begins. */
  restartedVm: number | undefined;
  deliveries: Delivery[];
}

const ROUND_MS = 100;
const delivery: fc.Arbitrary<Delivery> = fc.oneof(
  { arbitrary: fc.constant('arrives' as const), weight: 30 },
  {
    arbitrary: fc.constantFrom<Delivery>('isLost', 'isLate', 'answerIsLost', 'answerIsLate'),
    weight: 1,
  },
);
const mostlyNone = { arbitrary: fc.constant(0), weight: 2 };
const phaseArbitrary: fc.Arbitrary<FaultPhase> = fc.record({
  rounds: fc.integer({ min: 1, max: 14 }),
  partitionedPairs: fc.oneof(mostlyNone, { arbitrary: fc.nat(63), weight: 3 }),
  pausedVms: fc.oneof(mostlyNone, { arbitrary: fc.nat(15), weight: 1 }),
  restartedVm: fc.oneof(
    { arbitrary: fc.constant(undefined), weight: 2 },
    { arbitrary: fc.nat(3), weight: 1 },
  ),
  deliveries: fc.array(delivery, { minLength: 1, maxLength: 30 }),
});

interface LeaseExpiryProof {
  target: string;
  expiresAtMs: number;
  apply(): void;
}

interface VmProcess {
  id: string;
  incarnation: number;
  leaseMs: number;
  lease: ReturnType<typeof createVmLease>;
  witness: ReturnType<typeof createWitness>;
  consumer?: QuotaConsumer;
  keeper?: QuotaAllocator;
  lostEpoch: number;
  /** Epoch of the quota record as this VM last read it. */
  epoch: number;
  allocatorId: string;
  proofs: LeaseExpiryProof[];
  /** Allocator whose lease this VM has proven expired, with its epoch. */
  gone?: { epoch: number; vm: string; lease?: LeaseRecord };
}

/** VMs that allocate one account's quota in turn, the stored records and a faulty network. */
const createModel = (fleet: (typeof FLEETS)[number], leaseMsByVm: readonly number[][]) => {
  let nowMs = 0;
  let incarnation = 0;
  let record = { epoch: 0, keeper: '', incarnation: 0 };
  const leases = new Map<string, LeaseRecord>();
  const delayed: (() => void)[] = [];
  const admittedAtMs: number[] = [];
  const killedVms = new Set<string>();

  const vmIndex = (id: string): number => fleet.findIndex((vm) => vm.id === id);

  const start = (id: string, dataCentre: string): VmProcess => {
    incarnation += 1;
    const mayHavePromised = leases.has(id);
    const leaseMsOfVm = leaseMsByVm[vmIndex(id) % leaseMsByVm.length] ?? [];
    const leaseMs = leaseMsOfVm[incarnation % leaseMsOfVm.length] ?? LEASE_MS;
    const lease = createVmLease(leaseMs);
    const groups = chooseWitnessGroups(fleet, id, dataCentre);
    const leaseRecord = { ...toLeaseTerm(incarnation, leaseMs), groups };
    leases.set(id, leaseRecord);
    lease.setRecord(leaseRecord, nowMs);
    const witness = createWitness({ leaseMs, startedAtMs: nowMs, mayHavePromised });
    const initialView = { lostEpoch: 0, epoch: 0, allocatorId: '', proofs: [] };
    return { id, incarnation, leaseMs, lease, witness, ...initialView };
  };
  const processes = fleet.map(({ id, dataCentre }) => start(id, dataCentre));
  const processOf = (id: string): VmProcess | undefined =>
    killedVms.has(id) ? undefined : processes.find((process) => process.id === id);

  let phase: FaultPhase = {
    rounds: 0,
    partitionedPairs: 0,
    pausedVms: 0,
    restartedVm: undefined,
    deliveries: ['arrives'],
  };
  let messages = 0;
  const isPaused = (id: string): boolean =>
    Math.floor(phase.pausedVms / 2 ** vmIndex(id)) % 2 === 1;
  const isPartitioned = (a: string, b: string): boolean => {
    const [low = 0, high = 0] = [vmIndex(a), vmIndex(b)].sort((x, y) => x - y);
    return Math.floor(phase.partitionedPairs / 2 ** ((high * (high - 1)) / 2 + low)) % 2 === 1;
  };
  const isUnreachable = (from: string, to: string): boolean =>
    killedVms.has(to) || isPaused(to) || isPartitioned(from, to);

  const call = <Answer>(
    from: string,
    to: string,
    handle: (target: VmProcess) => Answer,
    receive: (answer: Answer) => void,
  ): void => {
    messages += 1;
    const outcome = phase.deliveries[messages % phase.deliveries.length] ?? 'arrives';
    const request = (): void => {
      const target = processOf(to);
      if (!target) return;
      const answer = handle(target);
      if (outcome === 'answerIsLate' || outcome === 'isLate') delayed.push(() => receive(answer));
      else if (outcome === 'arrives') receive(answer);
    };
    if (isPartitioned(from, to)) return;
    if (outcome === 'isLate' || isPaused(to)) delayed.push(request);
    else if (outcome !== 'isLost') request();
  };

  /** Reads the quota record and takes the role that it assigns. */
  const refreshRole = (process: VmProcess): void => {
    Object.assign(process, { epoch: record.epoch, allocatorId: record.keeper });
    if (record.epoch === 0) return;
    const isAllocator = record.keeper === process.id && record.incarnation === process.incarnation;
    if (!isAllocator && !process.consumer) {
      const retained = process.keeper?.drain(nowMs);
      const consumer = createQuotaConsumer({
        ...{ share: 'a', vm: process.id, incarnation: process.incarnation, limit: LIMIT },
        ...{ leaseMs: LONG_LEASE_MS, lease: process.lease, nowMs },
        ...{ initialUnits: retained?.units, initialTokens: retained?.tokens },
      });
      Object.assign(process, { consumer, keeper: undefined });
    }
  };

  const claim = (process: VmProcess): void => {
    refreshRole(process);
    const { gone: goneAllocator, lostEpoch } = process;
    const isOwnRecord = record.keeper === process.id;
    const isUnclaimed =
      record.epoch === 0 ||
      (isOwnRecord && (record.incarnation !== process.incarnation || lostEpoch === record.epoch));
    const isProvenGone =
      goneAllocator?.epoch === record.epoch &&
      goneAllocator.vm === record.keeper &&
      leases.get(goneAllocator.vm) === goneAllocator.lease;
    if (process.lease.currentGeneration(nowMs) === undefined || (!isUnclaimed && !isProvenGone))
      return;
    const retained = process.consumer?.drain(nowMs) ?? { units: 0, tokens: 0 };
    const otherVms = fleet.map(({ id }) => id).filter((id) => id !== process.id);
    const remainingVms = new Set(
      record.epoch === 0 ? [] : otherVms.filter((id) => id !== goneAllocator?.vm),
    );
    const unreportedVms = isProvenGone ? remainingVms : new Set(record.epoch === 0 ? [] : otherVms);
    record = {
      epoch: record.epoch + 1,
      keeper: process.id,
      incarnation: process.incarnation,
    };
    Object.assign(process, { consumer: undefined, epoch: record.epoch, allocatorId: process.id });
    const keeper = createQuotaAllocator({
      ...{
        limit: LIMIT,
        epoch: record.epoch,
        unreportedVms,
        former: new Set<string>(),
      },
      ...{ initialUnits: retained.units, initialTokens: retained.tokens, leaseMs: LONG_LEASE_MS },
      ...{ lease: process.lease, unreportedExpireAtMs: 2 * LONG_LEASE_MS, nowMs },
    });
    Object.assign(process, { keeper });
  };

  const dropInactiveAllocator = (process: VmProcess): void => {
    if (!process.keeper || process.keeper.isActive(nowMs)) return;
    Object.assign(process, { lostEpoch: process.keeper.epoch, keeper: undefined });
  };

  const sync = (process: VmProcess, neededTokens: number): void => {
    if (!process.consumer || process.epoch === 0) return;
    const { consumer, epoch, allocatorId } = process;
    const report = consumer.report(epoch, neededTokens, nowMs);
    call(
      process.id,
      allocatorId,
      (target) => {
        dropInactiveAllocator(target);
        return target.keeper?.handleReport(report, nowMs);
      },
      (grant) => grant && consumer.applyGrant(grant, nowMs),
    );
  };

  const heartbeat = (process: VmProcess): void => {
    const sentAtMs = nowMs;
    const { groups, ...term } = process.lease.record() ?? { term: 0, groups: [] };
    [...new Set(groups.flat())].forEach((witness) =>
      call(
        process.id,
        witness,
        (target) => target.witness.renew(process.id, term, nowMs),
        (isRenewed) => isRenewed && process.lease.renew(witness, term.term, sentAtMs, nowMs),
      ),
    );
  };

  /** Returns the step that `process` may take once the target's lease has expired. */
  const conclusionAbout = (process: VmProcess, target: string): (() => void) => {
    const { keeper, epoch } = process;
    const lease = leases.get(target);
    const observed = keeper?.allocationOf(target);
    if (keeper && observed) return () => keeper.reclaimExpiredVm(target, observed, nowMs);
    if (keeper) return () => leases.get(target) === lease && keeper.clearUnreported(target, nowMs);
    return () => Object.assign(process, { gone: { epoch, vm: target, lease } });
  };

  const requestPromises = (process: VmProcess, target: string): void => {
    const leaseRecord = leases.get(target);
    if (!leaseRecord || target === process.id) return;
    const { groups, ...term } = process.keeper?.allocationOf(target)?.lease ?? leaseRecord;
    const lengthMs = effectiveLeaseMs(term, process.leaseMs);
    const answers = new Map<string, { receivedAtMs: number; promise: WitnessPromise }>();
    const askedAtMs = nowMs;
    const apply = conclusionAbout(process, target);
    [...new Set(groups.flat())].forEach((witness) =>
      call(
        process.id,
        witness,
        (asking) => asking.witness.promise(target, term, nowMs),
        (promise) => {
          if (nowMs - askedAtMs > ROUND_TIMEOUT_MS) return;
          answers.set(witness, { receivedAtMs: nowMs, promise });
          const expiresAtMs = provenExpiryAtMs(groups, answers, lengthMs);
          if (expiresAtMs !== undefined) process.proofs.push({ target, expiresAtMs, apply });
        },
      ),
    );
  };

  const apply = (process: VmProcess): void => {
    dropInactiveAllocator(process);
    process.proofs
      .filter(({ expiresAtMs }) => nowMs >= expiresAtMs)
      .forEach((proof) => proof.apply());
    Object.assign(process, {
      proofs: process.proofs.filter(({ expiresAtMs }) => nowMs < expiresAtMs),
    });
  };

  const request = (process: VmProcess): void => {
    dropInactiveAllocator(process);
    const bucket = process.keeper ?? process.consumer;
    for (let count = 0; count < 20; count += 1) {
      bucket?.count(nowMs);
      if (bucket?.take(nowMs)) admittedAtMs.push(nowMs);
    }
  };

  const restart = (id: string): void => {
    const index = fleet.findIndex((vm) => vm.id === id);
    processes[index] = start(id, fleet[index]?.dataCentre ?? '');
  };

  const unitsInUse = (): number =>
    processes
      .filter(({ id }) => !killedVms.has(id))
      .reduce((sum, { keeper, consumer }) => sum + ((keeper ?? consumer)?.units(nowMs) ?? 0), 0);

  /** Starts a lease of a new term for a VM whose lease has expired, in phases of an odd length. */
  const renewExpiredTerm = ({ id, leaseMs, lease }: VmProcess): void => {
    if (lease.currentGeneration(nowMs) !== undefined || phase.rounds % 2 === 0) return;
    incarnation += 1;
    const groups = leases.get(id)?.groups ?? [];
    const leaseRecord = { ...toLeaseTerm(incarnation, leaseMs), groups };
    leases.set(id, leaseRecord);
    lease.setRecord(leaseRecord, nowMs);
  };

  const runDuties = (process: VmProcess): void => {
    const requestPromisesIfUnreachable = (id: string): void => {
      if (isUnreachable(process.id, id)) requestPromises(process, id);
    };
    refreshRole(process);
    apply(process);
    requestPromisesIfUnreachable(record.keeper);
    claim(process);
    process.keeper?.holding().forEach(requestPromisesIfUnreachable);
    process.keeper?.unreportedVms().forEach(requestPromisesIfUnreachable);
  };

  const round = (neededTokens: number): void => {
    nowMs += ROUND_MS;
    const runningVms = processes.filter(({ id }) => !killedVms.has(id) && !isPaused(id));
    delayed.splice(0, delayed.length / 2).forEach((deliver) => deliver());
    runningVms.forEach(renewExpiredTerm);
    runningVms.forEach(heartbeat);
    runningVms.forEach((process) => {
      runDuties(process);
      if (neededTokens > 0) request(process);
      else process.consumer?.release(nowMs);
      sync(process, neededTokens);
    });
  };

  const run = (next: FaultPhase, afterRound: () => void): void => {
    phase = next;
    if (next.restartedVm !== undefined) restart(fleet[next.restartedVm % fleet.length]?.id ?? '');
    for (let count = 0; count < next.rounds; count += 1) {
      round(1 + (count % 3) * 10);
      afterRound();
    }
  };

  /** Runs all VMs that were not killed, without faults and without requests. */
  const runWithoutFaults = (durationMs: number): void => {
    phase = {
      rounds: 0,
      partitionedPairs: 0,
      pausedVms: 0,
      restartedVm: undefined,
      deliveries: ['arrives'],
    };
    const untilMs = nowMs + durationMs;
    while (nowMs < untilMs) round(0);
  };

  return {
    run,
    runWithoutFaults,
    unitsInUse,
    kill: (id: string) => killedVms.add(id),
    admittedAtMs,
    leases,
  };
};

const expectWithinLimit = (admittedAtMs: readonly number[]): void => {
  admittedAtMs.forEach((fromMs, from) => {
    for (let to = from; to < admittedAtMs.length; to += 1) {
      const windowMs = (admittedAtMs[to] ?? 0) - fromMs;
      const bound = LIMIT.burst + (LIMIT.ratePerS * windowMs) / 1_000;
      if (to - from + 1 > bound + 1e-6) expect(to - from + 1, `in ${windowMs} ms`).at.most(bound);
    }
  });
};

/** Lease lengths that each VM uses in turn; messages omit `UNSTATED_LEASE_MS`. */
const lengthsArbitrary = fc.array(
  fc.array(fc.constantFrom(SHORT_LEASE_MS, LEASE_MS, UNSTATED_LEASE_MS), { minLength: 1 }),
  { minLength: 4, maxLength: 4 },
);

const expectSafe = (
  model: ReturnType<typeof createModel>,
  phases: readonly FaultPhase[],
  isObserved: boolean,
): void => {
  model.runWithoutFaults(500);
  phases.forEach((phase) => {
    model.run(phase, () => {
      if (isObserved) expect(model.unitsInUse()).to.be.at.most(WHOLE_UNITS);
    });
  });
  expectWithinLimit(model.admittedAtMs);
};

const fleetArbitrary = fc.constantFrom(...FLEETS);
const phasesArbitrary = fc.array(phaseArbitrary, { minLength: 2, maxLength: 12 });

describe('quota units when the allocator changes', () => {
  describe('with partitions, pauses, restarts, lost or late messages and take-overs', () => {
    it('never uses more than all units and never admits more than the limit', () => {
      fc.assert(
        // Reading a VM's units makes it notice an expired lease, so half of the runs do not.
        fc.property(fleetArbitrary, phasesArbitrary, fc.boolean(), (fleet, phases, isObserved) => {
          expectSafe(createModel(fleet, UNIFORM_LEASE_MS), phases, isObserved);
        }),
        { numRuns: 600 },
      );
    });

    it('stays safe while the lease length changes VM by VM', () => {
      fc.assert(
        fc.property(
          ...[fleetArbitrary, phasesArbitrary, fc.boolean(), lengthsArbitrary],
          (fleet, phases, isObserved, leaseMsByVm) => {
            expectSafe(createModel(fleet, leaseMsByVm), phases, isObserved);
          },
        ),
        { numRuns: 300 },
      );
    });
  });

  describe('with a VM that crashes permanently', () => {
    it('reclaims all units within seconds while a quorum of its witnesses is reachable', () => {
      fc.assert(
        fc.property(fleetArbitrary, phasesArbitrary, fc.nat(3), (fleet, phases, index) => {
          const model = createModel(fleet, UNIFORM_LEASE_MS);
          phases.forEach((phase) => model.run(phase, () => {}));
          model.runWithoutFaults(3 * LEASE_MS);
          model.kill(fleet[index % fleet.length]?.id ?? '');
          model.runWithoutFaults(3 * LEASE_MS);
          expect(model.unitsInUse()).to.equal(WHOLE_UNITS);
        }),
        { numRuns: 150 },
      );
    });
  });
});
