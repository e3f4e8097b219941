import { expect } from 'chai';
import fc from 'fast-check';
import connectionsPerMember from './connectionsPerMember';
import decideSlot from './decideSlot';
import isSlotUsable from './isSlotUsable';
import findAssignedSlot from './findAssignedSlot';
import slotTimings from './slotTimings';
import type SlotsRecord from './slotsRecord';
import withSlotHolder from './withSlotHolder';

const SLOTS = 2;
const VMS = ['a', 'b', 'c', 'd'];
const TICK_MS = 250;

interface ModelVm {
  vm: string;
  incarnation: number;
  isPaused: boolean;
  pausedAtMs: number;
  /** The slots record as this VM last read it, with its revision and the time of reading. */
  record: SlotsRecord | undefined;
  revision: number;
  completeAtMs: number;
  /** Registered VMs as this VM knows them. */
  registered: string[];
  freeAtMs: number;
  /** Index of the slot with open connections, or -1. */
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
  registered: VMS,
  freeAtMs: Number.POSITIVE_INFINITY,
  open: -1,
});

/** Several VMs and the stored slots record in virtual time. */
const createModel = () => {
  const vms = new Map(VMS.map((vm) => [vm, createModelVm(vm, 1)]));
  let nowMs = 0;
  let record: SlotsRecord | undefined;
  let revision = 0;
  let openedCount = 0;

  const write = (vm: ModelVm, newRecord: SlotsRecord): boolean => {
    if (vm.revision !== revision) return false;
    record = newRecord;
    revision += 1;
    Object.assign(vm, { record, revision });
    return true;
  };

  /** Checks a VM's lease and opens or closes its connections accordingly. */
  const checkLease = (vm: ModelVm): void => {
    const { completeAtMs, freeAtMs } = vm;
    const ownIndex = findAssignedSlot(vm.record, vm.vm, vm.incarnation);
    const isOpen = ownIndex >= 0 && isSlotUsable({ nowMs, completeAtMs, freeAtMs });
    if (isOpen && vm.open < 0) openedCount += 1;
    Object.assign(vm, { open: isOpen ? ownIndex : -1 });
  };

  const decide = (vm: ModelVm): void => {
    const { record: knownRecord, registered } = vm;
    const chosen = registered.slice(0, SLOTS);
    const isListed = (other: string): boolean => registered.includes(other);
    const decision = decideSlot({
      ...vm,
      ...{
        slots: SLOTS,
        record: knownRecord,
        chosenVms: chosen,
        isRegisteredVm: isListed,
        isReleasing: false,
      },
    });
    if (decision.kind !== 'take') return;
    const holder = {
      vm: vm.vm,
      incarnation: vm.incarnation,
      isTakenOver: decision.isTakenOver,
    };
    if (!write(vm, withSlotHolder(knownRecord, decision.slot, holder))) return;
    Object.assign(vm, { freeAtMs: nowMs + (decision.isTakenOver ? slotTimings.takeOverMs : 0) });
  };

  const release = (vm: ModelVm): void => {
    const ownIndex = findAssignedSlot(vm.record, vm.vm, vm.incarnation);
    if (ownIndex < 0 || nowMs < vm.freeAtMs) return;
    Object.assign(vm, { open: -1 });
    const newRecord = withSlotHolder(vm.record, ownIndex, null);
    // Opens nothing until it knows the write; after a failed one it has to read the record first.
    if (!write(vm, newRecord)) Object.assign(vm, { completeAtMs: Number.NEGATIVE_INFINITY });
  };

  const sync = (vm: ModelVm): void => {
    Object.assign(vm, { record, revision, completeAtMs: nowMs });
  };

  const actions: Record<string, (vm: ModelVm, registered: string[]) => void> = {
    sync,
    register: (vm, registered) => Object.assign(vm, { registered }),
    pause: (vm) => Object.assign(vm, { isPaused: true, pausedAtMs: nowMs }),
    restart: ({ vm, incarnation }) => vms.set(vm, createModelVm(vm, incarnation + 1)),
    release,
  };

  /** Advances a VM by one tick; members close the idle connections of a paused VM. */
  const advanceTick = (vm: ModelVm): void => {
    if (!vm.isPaused) checkLease(vm);
    else if (nowMs - vm.pausedAtMs >= slotTimings.idleTimeoutMs) Object.assign(vm, { open: -1 });
  };

  const advance = (elapsedMs: number): void => {
    const endMs = nowMs + elapsedMs;
    while (nowMs < endMs) {
      nowMs += TICK_MS;
      vms.forEach(advanceTick);
    }
  };

  return {
    run: (action: string, vmId: string, registered: string[], elapsedMs: number): void => {
      const vm = vms.get(vmId);
      if (!vm) return;
      const isResuming = vm.isPaused && action !== 'restart';
      if (isResuming) Object.assign(vm, { isPaused: false });
      else actions[action]?.(vm, registered);
      if (!isResuming && action !== 'pause') decide(vm);
      vms.forEach((other) => !other.isPaused && checkLease(other));
      advance(elapsedMs);
    },
    openSlots: (): number[] =>
      [...vms.values()].map(({ open }) => open).filter((slot) => slot >= 0),
    openedCount: () => openedCount,
  };
};

const step = fc.record({
  action: fc.constantFrom(
    'sync',
    'sync',
    'sync',
    'sync',
    'register',
    'pause',
    'restart',
    'release',
  ),
  vm: fc.constantFrom(...VMS),
  registered: fc.shuffledSubarray(VMS, { minLength: 1, maxLength: 3 }),
  elapsedMs: fc.constantFrom(0, 250, 500, 1_000, 2_000, 4_000),
});

describe('connection slots of a group', () => {
  describe('with diverging registrations, pauses, restarts and late confirmations', () => {
    it('lets only one VM at a time open connections through a slot', () => {
      let openedCount = 0;
      fc.assert(
        fc.property(fc.array(step, { minLength: 20, maxLength: 60 }), (steps) => {
          const model = createModel();
          steps.forEach(({ action, vm, registered, elapsedMs }) => {
            model.run(action, vm, registered, elapsedMs);
            const open = model.openSlots();
            expect(new Set(open).size, `open ${open}`).to.equal(open.length);
            expect(open.length).to.be.at.most(SLOTS);
          });
          openedCount += model.openedCount();
        }),
        { numRuns: 2_000 },
      );
      expect(openedCount).to.be.above(2_000);
    });
  });

  describe('with a connection budget', () => {
    it('never allows all slots together more connections than the budget', () => {
      const group = fc.record({
        connectionBudget: fc.integer({ min: 0, max: 200 }),
        slots: fc.integer({ min: 1, max: 16 }),
        members: fc.array(fc.constant('m'), { minLength: 1, maxLength: 15 }),
      });
      fc.assert(
        fc.property(group, (budgeted) => {
          const data = connectionsPerMember(budgeted);
          if (data === 0) return;
          const each = (data + 1) * budgeted.members.length;
          expect(each * budgeted.slots).to.be.at.most(budgeted.connectionBudget);
        }),
      );
    });
  });
});
