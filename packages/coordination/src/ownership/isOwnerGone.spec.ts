import { expect } from 'chai';
import isOwnerGone from './isOwnerGone';
import type VmView from './vmView';

const view = (vm: string, hears: string[], changes: Partial<VmView> = {}): VmView => ({
  vm,
  dataCentre: 'waco',
  incarnation: `${vm}-1`,
  isHeard: true,
  isSettled: true,
  isLeaving: false,
  isStrained: false,
  isStoreReachable: true,
  hears: new Set(hears),
  ...changes,
});

const owner = { vm: 'a', incarnation: 'a-1', isSettled: true };
const silent = { isHeard: false };

describe('isOwnerGone', () => {
  describe('of an owner that is heard', () => {
    it('keeps it', () => {
      expect(isOwnerGone(owner, [view('b', []), view('a', []), view('c', [])])).to.equal(false);
    });

    it('replaces it once its VM runs another process', () => {
      const restarted = view('a', [], { incarnation: 'a-2' });
      expect(isOwnerGone(owner, [view('b', ['a']), restarted])).to.equal(true);
    });

    it('keeps a process that its new record names before its VM was heard of', () => {
      const old = view('a', [], { incarnation: 'a-0' });
      expect(isOwnerGone({ ...owner, isSettled: false }, [view('b', []), old])).to.equal(false);
    });
  });

  describe('of an owner that is silent', () => {
    it('replaces it when more than half of the others do not hear it', () => {
      const vms = [view('b', ['c']), view('c', ['b']), view('a', [], silent), view('d', ['a'])];
      expect(isOwnerGone(owner, vms)).to.equal(true);
    });

    it('keeps it when half of the others hear it', () => {
      const vms = [view('b', []), view('c', []), view('d', ['a']), view('e', ['a'])];
      expect(isOwnerGone(owner, [...vms, view('a', [], silent)])).to.equal(false);
    });

    it('keeps it as seen by a VM that is cut off with a minority', () => {
      const cutOff = ['c', 'd', 'e'].map((vm) => view(vm, [], silent));
      expect(isOwnerGone(owner, [view('b', []), ...cutOff, view('a', [], silent)])).to.equal(false);
    });

    it('does not count VMs that started a moment ago', () => {
      const young = { isSettled: false };
      const vms = [view('b', [], young), view('c', [], young), view('a', [], silent)];
      expect(isOwnerGone(owner, vms)).to.equal(false);
    });
  });
});
