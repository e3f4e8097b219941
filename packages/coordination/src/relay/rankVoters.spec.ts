import { expect } from 'chai';
import rankVoters from './rankVoters';

const VOTERS = ['waco-1', 'waco-2', 'temple-1', 'temple-2'].map((vm) => ({
  vm,
  dataCentre: vm.split('-')[0] ?? '',
}));

describe('rankVoters', () => {
  it('puts the voters of the own data centre first', () => {
    const ranked = rankVoters('waco-9', 'waco', VOTERS);
    expect(ranked.slice(0, 2)).to.have.members(['waco-1', 'waco-2']);
    expect(ranked).to.have.length(4);
  });

  it('spreads the observers of a data centre over its voters', () => {
    const firsts = Array.from(
      { length: 100 },
      (_, index) => rankVoters(`waco-${index + 10}`, 'waco', VOTERS)[0],
    );
    expect(firsts.filter((vm) => vm === 'waco-1').length).to.be.within(30, 70);
  });
});
