import { expect } from 'chai';
import hasLostOwner from './hasLostOwner';
import type VmView from './vmView';

const view = (vm: string, hears: string[], changes: Partial<VmView> = {}): VmView => ({
  vm,
  dataCentre: 'waco',
  isVoter: true,
  incarnation: `${vm}-1`,
  hasRecentHeartbeat: true,
  isSettled: true,
  isLeaving: false,
  isStrained: false,
  isInEvacuatedDataCentre: false,
  isStoreReachable: true,
  hears: new Set(hears),
  ...changes,
});

const owner = { vm: 'a', incarnation: 'a-1', isSettled: true };
const unheard = { hasRecentHeartbeat: false };

describe('hasLostOwner', () => {
  describe('when this VM receives heartbeats of the owner', () => {
    it('keeps the owner', () => {
      expect(hasLostOwner(owner, [view('b', []), view('a', []), view('c', [])])).to.equal(false);
    });

    it('replaces the owner once its VM has restarted', () => {
      const restarted = view('a', [], { incarnation: 'a-2' });
      expect(hasLostOwner(owner, [view('b', ['a']), restarted])).to.equal(true);
    });

    it('keeps the owner of a new record while only the previous incarnation is known', () => {
      const old = view('a', [], { incarnation: 'a-0' });
      expect(hasLostOwner({ ...owner, isSettled: false }, [view('b', []), old])).to.equal(false);
    });
  });

  describe('when this VM receives no heartbeats of the owner', () => {
    it('replaces the owner when more than half of the other VMs do not hear it', () => {
      const vms = [view('b', ['c']), view('c', ['b']), view('a', [], unheard), view('d', ['a'])];
      expect(hasLostOwner(owner, vms)).to.equal(true);
    });

    it('keeps the owner when half of the other VMs hear it', () => {
      const vms = [view('b', []), view('c', []), view('d', ['a']), view('e', ['a'])];
      expect(hasLostOwner(owner, [...vms, view('a', [], unheard)])).to.equal(false);
    });

    it('keeps the owner when this VM is partitioned with a minority', () => {
      const cutOff = ['c', 'd', 'e'].map((vm) => view(vm, [], unheard));
      expect(hasLostOwner(owner, [view('b', []), ...cutOff, view('a', [], unheard)])).to.equal(
        false,
      );
    });

    it('does not count VMs that started too recently to detect silence', () => {
      const unsettled = { isSettled: false };
      const vms = [view('b', [], unsettled), view('c', [], unsettled), view('a', [], unheard)];
      expect(hasLostOwner(owner, vms)).to.equal(false);
    });
  });
});
