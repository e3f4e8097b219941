import { expect } from 'chai';
import createPositionHistory from './createPositionHistory';

const position = (number: number, term = 1) => ({ term, number });

describe('createPositionHistory', () => {
  it('gives the least position that was asked for late enough', () => {
    const history = createPositionHistory();
    history.record(0, position(1));
    history.record(100, position(5));
    history.record(200, position(9));
    expect(history.leastFresh(0)).to.deep.equal(position(1));
    expect(history.leastFresh(50)).to.deep.equal(position(5));
    expect(history.leastFresh(201)).to.equal(undefined);
  });

  it('takes the time of the question, not of the answer', () => {
    const history = createPositionHistory();
    history.record(100, position(9));
    expect(history.leastFresh(101)).to.equal(undefined);
  });

  it('knows nothing of a term before', () => {
    const history = createPositionHistory();
    history.record(100, position(9));
    history.clear();
    expect(history.leastFresh(0)).to.equal(undefined);
    history.record(110, position(3, 2));
    expect(history.leastFresh(0)).to.deep.equal(position(3, 2));
  });
});
