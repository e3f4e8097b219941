import { expect } from 'chai';
import createFence from './createFence';

describe('createFence', () => {
  it('rises with each replacement of a primary', () => {
    const first = createFence(0, 1);
    expect(createFence(first, 1)).to.equal(first + 1);
  });

  it('is above the tokens of an earlier era when the record went back', () => {
    const lost = createFence(createFence(0, 1), 1);
    expect(createFence(0, 2)).to.be.above(lost);
  });

  it('counts from one on a store that was never restored, or has no eras', () => {
    expect([createFence(0, 0), createFence(0, 1)]).to.deep.equal([1, 1]);
  });
});
