import { expect } from 'chai';
import chooseOwner from './chooseOwner';
import type VmView from './vmView';

const view = (vm: string, dataCentre: string, changes: Partial<VmView> = {}): VmView => ({
  vm,
  dataCentre,
  isVoter: true,
  incarnation: '1',
  hasRecentHeartbeat: true,
  isSettled: true,
  isLeaving: false,
  isStrained: false,
  isInEvacuatedDataCentre: false,
  isStoreReachable: true,
  hears: new Set(),
  ...changes,
});

describe('chooseOwner', () => {
  it('chooses the VM that owns the fewest groups', () => {
    const vms = [view('a', 'waco'), view('b', 'waco')];
    expect(chooseOwner('g', vms, new Map([['a', 1]]), undefined)).to.equal('b');
    expect(chooseOwner('g', vms, new Map([['b', 1]]), undefined)).to.equal('a');
  });

  it('prefers a VM outside the data centre of the primary among equally loaded VMs', () => {
    const vms = [view('a', 'waco'), view('b', 'temple')];
    expect(chooseOwner('g', vms, new Map(), 'waco')).to.equal('b');
    expect(chooseOwner('g', vms, new Map([['b', 1]]), 'waco')).to.equal('a');
  });

  it('spreads groups over data centres before using a second VM of one', () => {
    const vms = [
      view('a', 'waco'),
      view('b', 'waco'),
      view('c', 'temple'),
      view('d', 'temple'),
      view('e', 'bryan'),
    ];
    const counts = new Map<string, number>();
    const owners = ['lots', 'bids', 'bales'].map((group) => {
      const owner = chooseOwner(group, vms, counts, undefined) ?? '';
      counts.set(owner, (counts.get(owner) ?? 0) + 1);
      return vms.find(({ vm }) => vm === owner)?.dataCentre;
    });
    expect(new Set(owners).size).to.equal(3);
  });

  it('chooses a VM short of CPU only when all are', () => {
    const vms = [view('a', 'waco', { isStrained: true }), view('b', 'waco')];
    expect(chooseOwner('g', vms, new Map([['b', 3]]), undefined)).to.equal('b');
    expect(chooseOwner('g', vms.slice(0, 1), new Map(), undefined)).to.equal('a');
  });

  it('chooses a VM in an evacuated data centre only when no other reaches the store', () => {
    const evacuated = { isInEvacuatedDataCentre: true };
    const strained = view('b', 'temple', { isStrained: true });
    const vms = [view('a', 'waco', evacuated), strained];
    expect(chooseOwner('g', vms, new Map([['b', 3]]), 'temple')).to.equal('b');
    const cutOff = [view('a', 'waco', evacuated), { ...strained, isStoreReachable: false }];
    expect(chooseOwner('g', cutOff, new Map(), undefined)).to.equal('a');
  });

  it('chooses a VM that cannot reach the store only when none can', () => {
    const vms = [view('a', 'waco', { isStoreReachable: false }), view('b', 'waco')];
    expect(chooseOwner('g', vms, new Map([['b', 2]]), undefined)).to.equal('b');
    expect(chooseOwner('g', vms.slice(0, 1), new Map(), undefined)).to.equal('a');
  });

  it('excludes VMs that are unreachable or leaving', () => {
    const vms = [
      view('a', 'waco', { hasRecentHeartbeat: false }),
      view('b', 'waco', { isLeaving: true }),
    ];
    expect(chooseOwner('g', vms, new Map(), undefined)).to.equal(undefined);
  });

  it('returns the same VM whatever the order of the VMs', () => {
    const vms = ['a', 'b', 'c', 'd'].map((vm) => view(vm, 'waco'));
    const chosen = chooseOwner('g', vms, new Map(), undefined);
    expect(chooseOwner('g', [...vms].reverse(), new Map(), undefined)).to.equal(chosen);
  });
});
