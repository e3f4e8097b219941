import { expect } from 'chai';
import createHeldSlots from './createHeldSlots';
import decideSlot from './decideSlot';
import slotTimings from './slotTimings';

const GROUP = 'auctions';
const at = (nowMs: number, completeAtMs = nowMs) => ({ nowMs, completeAtMs, isServed: true });

describe('slots that a VM has', () => {
  describe('one being given back', () => {
    const holder = { vm: 'vm-1', incarnation: 1, isTakenOver: false };
    const state = {
      ...{ vm: 'vm-1', incarnation: 1, slots: 1, record: { holders: [holder] } },
      ...{ chosen: ['vm-1'], isListed: () => true },
    };

    it('is given back again after a lost write, whoever should have it by now', () => {
      expect(decideSlot({ ...state, isClosing: true }).kind).to.equal('giveBack');
      expect(decideSlot({ ...state, isClosing: false }).kind).to.equal('none');
    });

    it('is never used again, and what runs ends with the lease', () => {
      const slots = createHeldSlots();
      slots.take(GROUP, 1, false, 0);
      expect(slots.refresh(GROUP, at(0))).to.deep.equal({ isChanged: true, isCut: false });
      slots.beginClosing(GROUP);
      const lapsed = at(slotTimings.leaseMs + 1, 0);
      expect(slots.refresh(GROUP, at(1_000))).to.deep.equal({ isChanged: false, isCut: false });
      expect(slots.refresh(GROUP, lapsed)).to.deep.equal({ isChanged: false, isCut: true });
      expect(slots.isUsable(GROUP, at(1_000))).to.equal(false);
    });
  });

  describe('one taken over twice', () => {
    it('waits for the later take-over to be announced', () => {
      const slots = createHeldSlots();
      slots.take(GROUP, 1, true, 0);
      slots.lose(GROUP);
      slots.take(GROUP, 3, true, 5_000);
      slots.noteAnnounced(GROUP, 1, 5_000);
      const freeAtMs = 5_000 + slotTimings.takeOverMs;
      expect(slots.isUsable(GROUP, at(freeAtMs))).to.equal(false);
      slots.noteAnnounced(GROUP, 3, 5_000);
      expect(slots.isUsable(GROUP, at(freeAtMs - 1))).to.equal(false);
      expect(slots.isUsable(GROUP, at(freeAtMs))).to.equal(true);
    });
  });
});
