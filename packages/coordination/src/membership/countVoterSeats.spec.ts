import { expect } from 'chai';
import countVoterSeats from './countVoterSeats';

describe('countVoterSeats', () => {
  it('makes every VM of a small deployment a voter', () => {
    expect(countVoterSeats(4, 3) * 4).to.be.at.least(6);
    expect(countVoterSeats(3, 3) * 3).to.be.at.least(9);
  });

  it('depends on data centres and groups only', () => {
    expect(countVoterSeats(6, 14)).to.equal(2);
    expect(countVoterSeats(4, 6)).to.equal(2);
    expect(countVoterSeats(4, 40)).to.equal(8);
  });

  it('gives each data centre at least one seat', () => {
    expect(countVoterSeats(12, 1)).to.equal(1);
    expect(countVoterSeats(0, 1)).to.equal(7);
  });
});
