import { expect } from 'chai';
import createPositionHistory from './createPositionHistory';

const createPosition = (number: number, term = 1) => ({ term, number });

describe('createPositionHistory', () => {
  it('returns the lowest position that was requested at the given time or later', () => {
    const history = createPositionHistory();
    history.record(0, createPosition(1));
    history.record(100, createPosition(5));
    history.record(200, createPosition(9));
    expect(history.findMinFreshPosition(0)).to.deep.equal(createPosition(1));
    expect(history.findMinFreshPosition(50)).to.deep.equal(createPosition(5));
    expect(history.findMinFreshPosition(201)).to.equal(undefined);
  });

  it('dates a position by its request, so a later time finds none', () => {
    const history = createPositionHistory();
    history.record(100, createPosition(9));
    expect(history.findMinFreshPosition(101)).to.equal(undefined);
  });

  it('returns no position from before it was cleared', () => {
    const history = createPositionHistory();
    history.record(100, createPosition(9));
    history.clear();
    expect(history.findMinFreshPosition(0)).to.equal(undefined);
    history.record(110, createPosition(3, 2));
    expect(history.findMinFreshPosition(0)).to.deep.equal(createPosition(3, 2));
  });
});
