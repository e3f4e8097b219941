import { expect } from 'chai';
import fc from 'fast-check';
import connectionShare from './connectionShare';
import decideSlot from './decideSlot';
import isSlotUsable from './isSlotUsable';
import ownSlot from './ownSlot';
import slotTimings from './slotTimings';
import type SlotsRecord from './slotsRecord';
import withHolder from './withHolder';

const SLOTS = 2;
const VMS = ['a', 'b', 'c', 'd'];
const TICK_MS = 250;

interface ModelVm {
  vm: string;
  incarnation: number;
  isPaused: boolean;
  pausedAtMs: number;
  /** What it knows of the record, and how old that knowledge is at most. */
  record: SlotsRecord | undefined;
  revision: number;
  completeAtMs: number;
  /** VMs on the list as it sees it. */
  listed: string[];
  freeAtMs: number;
  /** Slot by which it has connections open. */
  open: number;
}

const createModelVm = (vm: string, incarnation: number): ModelVm => ({
  vm,
  incarnation,
  isPaused: false,
  pausedAtMs: 0,
  record: undefined,
  revision: 0,
  completeAtMs: Number.NEGATIVE_INFINITY,
  listed: VMS,
  freeAtMs: Number.POSITIVE_INFINITY,
  open: -1,
});

/** Several VMs and the platform's record in virtual time. */
const createModel = () => {
  const vms = new Map(VMS.map((vm) => [vm, createModelVm(vm, 1)]));
  let nowMs = 0;
  let record: SlotsRecord | undefined;
  let revision = 0;
  let opened = 0;

  const write = (vm: ModelVm, next: SlotsRecord): boolean => {
    if (vm.revision !== revision) return false;
    record = next;
    revision += 1;
    Object.assign(vm, { record, revision });
    return true;
  };

  /** A VM checks its lease, and opens or closes its connections accordingly. */
  const check = (vm: ModelVm): void => {
    const { completeAtMs, freeAtMs } = vm;
    const own = ownSlot(vm.record, vm.vm, vm.incarnation);
    const isOpen = own >= 0 && isSlotUsable({ nowMs, completeAtMs, freeAtMs });
    if (isOpen && vm.open < 0) opened += 1;
    Object.assign(vm, { open: isOpen ? own : -1 });
  };

  const decide = (vm: ModelVm): void => {
    const { record: known, listed } = vm;
    const chosen = listed.slice(0, SLOTS);
    const isListed = (other: string): boolean => listed.includes(other);
    const decision = decideSlot({
      ...vm,
      ...{ slots: SLOTS, record: known, chosen, isListed, isClosing: false },
    });
    if (decision.kind !== 'take') return;
    const holder = {
      vm: vm.vm,
      incarnation: vm.incarnation,
      isTakenOver: decision.isTakenOver,
    };
    if (!write(vm, withHolder(known, decision.slot, holder))) return;
    Object.assign(vm, { freeAtMs: nowMs + (decision.isTakenOver ? slotTimings.takeOverMs : 0) });
  };

  const giveBack = (vm: ModelVm): void => {
    const own = ownSlot(vm.record, vm.vm, vm.incarnation);
    if (own < 0 || nowMs < vm.freeAtMs) return;
    Object.assign(vm, { open: -1 });
    const next = withHolder(vm.record, own, null);
    // Until the write is known it opens nothing; after a lost race it learns from the record.
    if (!write(vm, next)) Object.assign(vm, { completeAtMs: Number.NEGATIVE_INFINITY });
  };

  const sync = (vm: ModelVm): void => {
    Object.assign(vm, { record, revision, completeAtMs: nowMs });
  };

  const actions: Record<string, (vm: ModelVm, listed: string[]) => void> = {
    sync,
    list: (vm, listed) => Object.assign(vm, { listed }),
    pause: (vm) => Object.assign(vm, { isPaused: true, pausedAtMs: nowMs }),
    restart: ({ vm, incarnation }) => vms.set(vm, createModelVm(vm, incarnation + 1)),
    giveBack,
  };

  /** Members close what a paused VM leaves idle. */
  const pass = (vm: ModelVm): void => {
    if (!vm.isPaused) check(vm);
    else if (nowMs - vm.pausedAtMs >= slotTimings.idleTimeoutMs) Object.assign(vm, { open: -1 });
  };

  const advance = (elapsedMs: number): void => {
    const endMs = nowMs + elapsedMs;
    while (nowMs < endMs) {
      nowMs += TICK_MS;
      vms.forEach(pass);
    }
  };

  return {
    run: (action: string, name: string, listed: string[], elapsedMs: number): void => {
      const vm = vms.get(name);
      if (!vm) return;
      const isWaking = vm.isPaused && action !== 'restart';
      if (isWaking) Object.assign(vm, { isPaused: false });
      else actions[action]?.(vm, listed);
      if (!isWaking && action !== 'pause') decide(vm);
      vms.forEach((other) => !other.isPaused && check(other));
      advance(elapsedMs);
    },
    openSlots: (): number[] =>
      [...vms.values()].map(({ open }) => open).filter((slot) => slot >= 0),
    opened: () => opened,
  };
};

const step = fc.record({
  action: fc.constantFrom('sync', 'sync', 'sync', 'sync', 'list', 'pause', 'restart', 'giveBack'),
  vm: fc.constantFrom(...VMS),
  listed: fc.shuffledSubarray(VMS, { minLength: 1, maxLength: 3 }),
  elapsedMs: fc.constantFrom(0, 250, 500, 1_000, 2_000, 4_000),
});

describe('slots of a group', () => {
  describe('with views of the list that differ, pauses, restarts and late confirmations', () => {
    it('lets one VM at a time have connections by a slot', () => {
      let opened = 0;
      fc.assert(
        fc.property(fc.array(step, { minLength: 20, maxLength: 60 }), (steps) => {
          const model = createModel();
          steps.forEach(({ action, vm, listed, elapsedMs }) => {
            model.run(action, vm, listed, elapsedMs);
            const open = model.openSlots();
            expect(new Set(open).size, `open ${open}`).to.equal(open.length);
            expect(open.length).to.be.at.most(SLOTS);
          });
          opened += model.opened();
        }),
        { numRuns: 2_000 },
      );
      expect(opened).to.be.above(2_000);
    });
  });

  describe('with a budget', () => {
    it('never gives the slots together more than the budget', () => {
      const group = fc.record({
        connectionBudget: fc.integer({ min: 0, max: 200 }),
        slots: fc.integer({ min: 1, max: 16 }),
        members: fc.array(fc.constant('m'), { minLength: 1, maxLength: 15 }),
      });
      fc.assert(
        fc.property(group, (budgeted) => {
          const data = connectionShare(budgeted);
          if (data === 0) return;
          const each = (data + 1) * budgeted.members.length;
          expect(each * budgeted.slots).to.be.at.most(budgeted.connectionBudget);
        }),
      );
    });
  });
});
