import { expect } from 'chai';
import fc from 'fast-check';
import createVmLease from '../witness/createVmLease';
import createWitness from '../witness/createWitness';
import lapseProvenAtMs from '../witness/lapseProvenAtMs';
import type LeaseRecord from '../witness/leaseRecord';
import leaseTermOf from '../witness/leaseTermOf';
import reckonedLeaseMs from '../witness/reckonedLeaseMs';
import UNSTATED_LEASE_MS from '../witness/unstatedLeaseMs';
import type WitnessPromise from '../witness/witnessPromise';
import witnessGroupsOf from '../witness/witnessGroupsOf';
import createShareHolder from './createShareHolder';
import createShareKeeper from './createShareKeeper';
import type ShareHolder from './shareHolder';
import type ShareKeeper from './shareKeeper';
import WHOLE_UNITS from './wholeUnits';

const LEASE_MS = 1_000;
const SHORT_LEASE_MS = 500;
/** One length for each VM, before it starts again and after. */
const SAME_LENGTHS = [[LEASE_MS]];
/** Never lapses in the model. */
const LONG_LEASE_MS = 10_000_000;
const ROUND_TIMEOUT_MS = 300;
const LIMIT = { ratePerS: 100, burst: 40 };
const FLEETS = [
  ['a', 'a', 'a', 'a'],
  ['a', 'a', 'b', 'b'],
  ['a', 'b', 'c'],
].map((places) => places.map((dataCentre, at) => ({ id: `vm-${at}`, dataCentre })));

/** What becomes of a request and of its answer. */
type Fate = 'arrives' | 'isLost' | 'isLate' | 'answerIsLost' | 'answerIsLate';

/** A time in which some links are cut and some VMs stand still. */
interface Phase {
  rounds: number;
  /** A bit for each pair of VMs. */
  cut: number;
  /** A bit for each VM. */
  paused: number;
  /** A VM that crashes first and starts again without its memory. */
  restarted: number | undefined;
  fates: Fate[];
}

const ROUND_MS = 100;
const fate: fc.Arbitrary<Fate> = fc.oneof(
  { arbitrary: fc.constant('arrives' as const), weight: 30 },
  {
    arbitrary: fc.constantFrom<Fate>('isLost', 'isLate', 'answerIsLost', 'answerIsLate'),
    weight: 1,
  },
);
const none = { arbitrary: fc.constant(0), weight: 2 };
const phaseArbitrary: fc.Arbitrary<Phase> = fc.record({
  rounds: fc.integer({ min: 1, max: 14 }),
  cut: fc.oneof(none, { arbitrary: fc.nat(63), weight: 3 }),
  paused: fc.oneof(none, { arbitrary: fc.nat(15), weight: 1 }),
  restarted: fc.oneof(
    { arbitrary: fc.constant(undefined), weight: 2 },
    { arbitrary: fc.nat(3), weight: 1 },
  ),
  fates: fc.array(fate, { minLength: 1, maxLength: 30 }),
});

interface Evidence {
  target: string;
  lapsesAtMs: number;
  apply(): void;
}

interface Process {
  id: string;
  incarnation: number;
  leaseMs: number;
  lease: ReturnType<typeof createVmLease>;
  witness: ReturnType<typeof createWitness>;
  holder?: ShareHolder;
  keeper?: ShareKeeper;
  lostEpoch: number;
  /** The record as this VM last read it. */
  epoch: number;
  keeperId: string;
  evidence: Evidence[];
  /** The keeper that this VM has shown to be gone, and in which epoch. */
  gone?: { epoch: number; vm: string; lease?: LeaseRecord };
}

/** VMs that keep one account's shares in turn, the platform's records and a faulty network. */
const createModel = (fleet: (typeof FLEETS)[number], lengthsMs: readonly number[][]) => {
  let nowMs = 0;
  let incarnation = 0;
  let share = { epoch: 0, keeper: '', incarnation: 0 };
  const leases = new Map<string, LeaseRecord>();
  const late: (() => void)[] = [];
  const admittedAtMs: number[] = [];
  const dead = new Set<string>();

  const indexOf = (id: string): number => fleet.findIndex((one) => one.id === id);

  const start = (id: string, dataCentre: string): Process => {
    incarnation += 1;
    const mayHavePromised = leases.has(id);
    const ofVm = lengthsMs[indexOf(id) % lengthsMs.length] ?? [];
    const leaseMs = ofVm[incarnation % ofVm.length] ?? LEASE_MS;
    const lease = createVmLease(leaseMs);
    const groups = witnessGroupsOf(fleet, id, dataCentre);
    const record = { ...leaseTermOf(incarnation, leaseMs), groups };
    leases.set(id, record);
    lease.seat(record, nowMs);
    const witness = createWitness({ leaseMs, startedAtMs: nowMs, mayHavePromised });
    const known = { lostEpoch: 0, epoch: 0, keeperId: '', evidence: [] };
    return { id, incarnation, leaseMs, lease, witness, ...known };
  };
  const processes = fleet.map(({ id, dataCentre }) => start(id, dataCentre));
  const processOf = (id: string): Process | undefined =>
    dead.has(id) ? undefined : processes.find((process) => process.id === id);

  let phase: Phase = { rounds: 0, cut: 0, paused: 0, restarted: undefined, fates: ['arrives'] };
  let messages = 0;
  const isPaused = (id: string): boolean => Math.floor(phase.paused / 2 ** indexOf(id)) % 2 === 1;
  const isCut = (a: string, b: string): boolean => {
    const [low = 0, high = 0] = [indexOf(a), indexOf(b)].sort((x, y) => x - y);
    return Math.floor(phase.cut / 2 ** ((high * (high - 1)) / 2 + low)) % 2 === 1;
  };
  const isSilent = (from: string, to: string): boolean =>
    dead.has(to) || isPaused(to) || isCut(from, to);

  const call = <Answer>(
    from: string,
    to: string,
    handle: (target: Process) => Answer,
    receive: (answer: Answer) => void,
  ): void => {
    messages += 1;
    const what = phase.fates[messages % phase.fates.length] ?? 'arrives';
    const request = (): void => {
      const target = processOf(to);
      if (!target) return;
      const answer = handle(target);
      if (what === 'answerIsLate' || what === 'isLate') late.push(() => receive(answer));
      else if (what === 'arrives') receive(answer);
    };
    if (isCut(from, to)) return;
    if (what === 'isLate' || isPaused(to)) late.push(request);
    else if (what !== 'isLost') request();
  };

  /** Takes the role that the platform's record gives, as it is read now. */
  const learn = (process: Process): void => {
    Object.assign(process, { epoch: share.epoch, keeperId: share.keeper });
    if (share.epoch === 0) return;
    const isKeeper = share.keeper === process.id && share.incarnation === process.incarnation;
    if (!isKeeper && !process.holder) {
      const own = process.keeper?.resign(nowMs);
      const holder = createShareHolder({
        ...{ share: 'a', vm: process.id, incarnation: process.incarnation, limit: LIMIT },
        ...{ leaseMs: LONG_LEASE_MS, lease: process.lease, nowMs },
        ...{ initialUnits: own?.units, initialTokens: own?.tokens },
      });
      Object.assign(process, { holder, keeper: undefined });
    }
  };

  const claim = (process: Process): void => {
    learn(process);
    const { gone, lostEpoch } = process;
    const isOwn = share.keeper === process.id;
    const isFree =
      share.epoch === 0 ||
      (isOwn && (share.incarnation !== process.incarnation || lostEpoch === share.epoch));
    const isShown =
      gone?.epoch === share.epoch && gone.vm === share.keeper && leases.get(gone.vm) === gone.lease;
    if (process.lease.standing(nowMs) === undefined || (!isFree && !isShown)) return;
    const own = process.holder?.resign(nowMs) ?? { units: 0, tokens: 0 };
    const others = fleet.map(({ id }) => id).filter((id) => id !== process.id);
    const unreported = new Set(share.epoch === 0 ? [] : others.filter((id) => id !== gone?.vm));
    const earlier = isShown ? unreported : new Set(share.epoch === 0 ? [] : others);
    share = {
      epoch: share.epoch + 1,
      keeper: process.id,
      incarnation: process.incarnation,
    };
    Object.assign(process, { holder: undefined, epoch: share.epoch, keeperId: process.id });
    const keeper = createShareKeeper({
      ...{ limit: LIMIT, epoch: share.epoch, unreported: earlier, former: new Set<string>() },
      ...{ ownUnits: own.units, ownTokens: own.tokens, leaseMs: LONG_LEASE_MS },
      ...{ lease: process.lease, lapsedAtMs: 2 * LONG_LEASE_MS, nowMs },
    });
    Object.assign(process, { keeper });
  };

  const noteLoss = (process: Process): void => {
    if (!process.keeper || process.keeper.isInOffice(nowMs)) return;
    Object.assign(process, { lostEpoch: process.keeper.epoch, keeper: undefined });
  };

  const sync = (process: Process, neededTokens: number): void => {
    if (!process.holder || process.epoch === 0) return;
    const { holder, epoch, keeperId } = process;
    const report = holder.report(epoch, neededTokens, nowMs);
    call(
      process.id,
      keeperId,
      (target) => {
        noteLoss(target);
        return target.keeper?.sync(report, nowMs);
      },
      (grant) => grant && holder.accept(grant, nowMs),
    );
  };

  const heartbeat = (process: Process): void => {
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

  /** What the asking VM may conclude once the target's lease has lapsed. */
  const conclusionOf = (process: Process, target: string): (() => void) => {
    const { keeper, epoch } = process;
    const lease = leases.get(target);
    const seen = keeper?.allotmentOf(target);
    if (keeper && seen) return () => keeper.noteLapsed(target, seen, nowMs);
    if (keeper) return () => leases.get(target) === lease && keeper.noteGone(target, nowMs);
    return () => Object.assign(process, { gone: { epoch, vm: target, lease } });
  };

  const fence = (process: Process, target: string): void => {
    const record = leases.get(target);
    if (!record || target === process.id) return;
    const { groups, ...term } = process.keeper?.allotmentOf(target)?.lease ?? record;
    const lengthMs = reckonedLeaseMs(term, process.leaseMs);
    const answers = new Map<string, { receivedAtMs: number; promise: WitnessPromise }>();
    const askedAtMs = nowMs;
    const apply = conclusionOf(process, target);
    [...new Set(groups.flat())].forEach((witness) =>
      call(
        process.id,
        witness,
        (asking) => asking.witness.promise(target, term, nowMs),
        (promise) => {
          if (nowMs - askedAtMs > ROUND_TIMEOUT_MS) return;
          answers.set(witness, { receivedAtMs: nowMs, promise });
          const lapsesAtMs = lapseProvenAtMs(groups, answers, lengthMs);
          if (lapsesAtMs !== undefined) process.evidence.push({ target, lapsesAtMs, apply });
        },
      ),
    );
  };

  const apply = (process: Process): void => {
    noteLoss(process);
    process.evidence.filter(({ lapsesAtMs }) => nowMs >= lapsesAtMs).forEach((one) => one.apply());
    Object.assign(process, {
      evidence: process.evidence.filter(({ lapsesAtMs }) => nowMs < lapsesAtMs),
    });
  };

  const request = (process: Process): void => {
    noteLoss(process);
    const bucket = process.keeper ?? process.holder;
    for (let count = 0; count < 20; count += 1) {
      bucket?.count(nowMs);
      if (bucket?.take(nowMs)) admittedAtMs.push(nowMs);
    }
  };

  const restart = (id: string): void => {
    const at = fleet.findIndex((one) => one.id === id);
    processes[at] = start(id, fleet[at]?.dataCentre ?? '');
  };

  const unitsInUse = (): number =>
    processes
      .filter(({ id }) => !dead.has(id))
      .reduce((sum, { keeper, holder }) => sum + ((keeper ?? holder)?.units(nowMs) ?? 0), 0);

  /** A VM whose lease has lapsed takes one of another term, where the phase lets it. */
  const retake = ({ id, leaseMs, lease }: Process): void => {
    if (lease.standing(nowMs) !== undefined || phase.rounds % 2 === 0) return;
    incarnation += 1;
    const groups = leases.get(id)?.groups ?? [];
    const record = { ...leaseTermOf(incarnation, leaseMs), groups };
    leases.set(id, record);
    lease.seat(record, nowMs);
  };

  const actOnce = (process: Process): void => {
    const fenceSilent = (id: string): void => {
      if (isSilent(process.id, id)) fence(process, id);
    };
    learn(process);
    apply(process);
    fenceSilent(share.keeper);
    claim(process);
    process.keeper?.holding().forEach(fenceSilent);
    process.keeper?.unreported().forEach(fenceSilent);
  };

  const round = (neededTokens: number): void => {
    nowMs += ROUND_MS;
    const alive = processes.filter(({ id }) => !dead.has(id) && !isPaused(id));
    late.splice(0, late.length / 2).forEach((deliver) => deliver());
    alive.forEach(retake);
    alive.forEach(heartbeat);
    alive.forEach((process) => {
      actOnce(process);
      if (neededTokens > 0) request(process);
      else process.holder?.release(nowMs);
      sync(process, neededTokens);
    });
  };

  const run = (next: Phase, afterRound: () => void): void => {
    phase = next;
    if (next.restarted !== undefined) restart(fleet[next.restarted % fleet.length]?.id ?? '');
    for (let count = 0; count < next.rounds; count += 1) {
      round(1 + (count % 3) * 10);
      afterRound();
    }
  };

  /** Every living VM does its part without faults and without requests for a while. */
  const calm = (durationMs: number): void => {
    phase = { rounds: 0, cut: 0, paused: 0, restarted: undefined, fates: ['arrives'] };
    const untilMs = nowMs + durationMs;
    while (nowMs < untilMs) round(0);
  };

  return { run, calm, unitsInUse, kill: (id: string) => dead.add(id), admittedAtMs, leases };
};

const expectWithinLimit = (admittedAtMs: readonly number[]): void => {
  admittedAtMs.forEach((fromMs, from) => {
    for (let to = from; to < admittedAtMs.length; to += 1) {
      const windowMs = (admittedAtMs[to] ?? 0) - fromMs;
      const most = LIMIT.burst + (LIMIT.ratePerS * windowMs) / 1_000;
      if (to - from + 1 > most + 1e-6) expect(to - from + 1, `in ${windowMs} ms`).at.most(most);
    }
  });
};

/** Lengths that a VM has in turn, one of which messages leave out. */
const lengthsArbitrary = fc.array(
  fc.array(fc.constantFrom(SHORT_LEASE_MS, LEASE_MS, UNSTATED_LEASE_MS), { minLength: 1 }),
  { minLength: 4, maxLength: 4 },
);

const expectSafe = (
  model: ReturnType<typeof createModel>,
  phases: readonly Phase[],
  isWatched: boolean,
): void => {
  model.calm(500);
  phases.forEach((phase) => {
    model.run(phase, () => {
      if (isWatched) expect(model.unitsInUse()).to.be.at.most(WHOLE_UNITS);
    });
  });
  expectWithinLimit(model.admittedAtMs);
};

const fleetArbitrary = fc.constantFrom(...FLEETS);
const phasesArbitrary = fc.array(phaseArbitrary, { minLength: 2, maxLength: 12 });

describe('shares of a rate over changes of the keeper', () => {
  describe('with cuts, pauses, restarts, losses, late answers and takeovers', () => {
    it('never has more units in use than there are, nor admits more than the limit', () => {
      fc.assert(
        // Looking at a VM's units lets it notice a lapse, so half of the runs don't look.
        fc.property(fleetArbitrary, phasesArbitrary, fc.boolean(), (fleet, phases, isWatched) => {
          expectSafe(createModel(fleet, SAME_LENGTHS), phases, isWatched);
        }),
        { numRuns: 600 },
      );
    });

    it('does so while the length of leases is changed VM by VM', () => {
      fc.assert(
        fc.property(
          ...[fleetArbitrary, phasesArbitrary, fc.boolean(), lengthsArbitrary],
          (fleet, phases, isWatched, lengthsMs) => {
            expectSafe(createModel(fleet, lengthsMs), phases, isWatched);
          },
        ),
        { numRuns: 300 },
      );
    });
  });

  describe('with a VM that dies for good', () => {
    it('returns all units within seconds while a quorum of its witnesses is there', () => {
      fc.assert(
        fc.property(fleetArbitrary, phasesArbitrary, fc.nat(3), (fleet, phases, at) => {
          const model = createModel(fleet, SAME_LENGTHS);
          phases.forEach((phase) => model.run(phase, () => {}));
          model.calm(3 * LEASE_MS);
          model.kill(fleet[at % fleet.length]?.id ?? '');
          model.calm(3 * LEASE_MS);
          expect(model.unitsInUse()).to.equal(WHOLE_UNITS);
        }),
        { numRuns: 150 },
      );
    });
  });
});
