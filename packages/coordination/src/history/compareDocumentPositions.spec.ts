import { expect } from 'chai';
import fc from 'fast-check';
import compareDocumentPositions from './compareDocumentPositions';

const numbers = fc.nat(4);
const positions = fc.record({ version: numbers, era: numbers, revision: numbers });

describe('compareDocumentPositions', () => {
  it('puts a lower revision of a later era after a higher one of an earlier era', () => {
    const before = { version: 0, era: 1, revision: 100 };
    const after = { version: 0, era: 2, revision: 91 };
    expect(compareDocumentPositions(after, before)).to.be.above(0);
  });

  it('puts an older version that a restored store returns before the newer one', () => {
    const newer = { version: 13, era: 1, revision: 24 };
    const restored = { version: 10, era: 2, revision: 23 };
    expect(compareDocumentPositions(restored, newer)).to.be.below(0);
  });

  it('is a total order', () => {
    fc.assert(
      fc.property(positions, positions, positions, (a, b, c) => {
        expect(Math.sign(compareDocumentPositions(a, b))).to.equal(
          0 - Math.sign(compareDocumentPositions(b, a)),
        );
        if (compareDocumentPositions(a, b) <= 0 && compareDocumentPositions(b, c) <= 0)
          expect(compareDocumentPositions(a, c)).to.be.at.most(0);
      }),
    );
  });
});
