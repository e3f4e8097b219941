import { expect } from 'chai';
import createHeldSlots from './createHeldSlots';
import decideSlot from './decideSlot';
import slotTimings from './slotTimings';

const GROUP = 'auctions';
const conditionsAt = (nowMs: number, completeAtMs = nowMs) => ({
  nowMs,
  completeAtMs,
  isServed: true,
});

describe('createHeldSlots', () => {
  describe('with a slot that is being released', () => {
    const holder = { vm: 'vm-1', incarnation: 1, isTakenOver: false };
    const decisionInput = {
      ...{ vm: 'vm-1', incarnation: 1, slots: 1, record: { holders: [holder] } },
      ...{ chosenVms: ['vm-1'], isRegisteredVm: () => true },
    };

    it('releases the slot again after a lost write, whichever VM is chosen by then', () => {
      expect(decideSlot({ ...decisionInput, isReleasing: true }).kind).to.equal('giveBack');
      expect(decideSlot({ ...decisionInput, isReleasing: false }).kind).to.equal('none');
    });

    it('never uses the slot again and closes its connections when the lease expires', () => {
      const slots = createHeldSlots();
      slots.addSlot(GROUP, 1, false, 0);
      expect(slots.refresh(GROUP, conditionsAt(0))).to.deep.equal({
        isChanged: true,
        mustCloseConnections: false,
      });
      slots.startReleasing(GROUP);
      const conditionsAfterLease = conditionsAt(slotTimings.leaseMs + 1, 0);
      expect(slots.refresh(GROUP, conditionsAt(1_000))).to.deep.equal({
        isChanged: false,
        mustCloseConnections: false,
      });
      expect(slots.refresh(GROUP, conditionsAfterLease)).to.deep.equal({
        isChanged: false,
        mustCloseConnections: true,
      });
      expect(slots.isUsable(GROUP, conditionsAt(1_000))).to.equal(false);
    });
  });

  describe('with a slot taken over twice', () => {
    it('waits until the later take-over is announced', () => {
      const slots = createHeldSlots();
      slots.addSlot(GROUP, 1, true, 0);
      slots.removeSlot(GROUP);
      slots.addSlot(GROUP, 3, true, 5_000);
      slots.startTakeOverWait(GROUP, 1, 5_000);
      const freeAtMs = 5_000 + slotTimings.takeOverMs;
      expect(slots.isUsable(GROUP, conditionsAt(freeAtMs))).to.equal(false);
      slots.startTakeOverWait(GROUP, 3, 5_000);
      expect(slots.isUsable(GROUP, conditionsAt(freeAtMs - 1))).to.equal(false);
      expect(slots.isUsable(GROUP, conditionsAt(freeAtMs))).to.equal(true);
    });
  });
});
