import { expect } from 'chai';
import fc from 'fast-check';
import eraOfPosition from './eraOfPosition';
import revisionOfPosition from './revisionOfPosition';
import toHistoryPosition from './toHistoryPosition';

const eras = fc.nat(8_000);
const revisions = fc.nat(1_000_000_000);

describe('history positions', () => {
  it('give the era and the revision back', () => {
    fc.assert(
      fc.property(eras, revisions, (era, revision) => {
        const position = toHistoryPosition(era, revision);
        expect(Number.isSafeInteger(position)).to.equal(true);
        expect([eraOfPosition(position), revisionOfPosition(position)]).to.deep.equal([
          era,
          revision,
        ]);
      }),
    );
  });

  it('of a later era are above all of an earlier one', () => {
    fc.assert(
      fc.property(eras, revisions, revisions, (era, before, after) => {
        expect(toHistoryPosition(era + 1, after)).to.be.above(toHistoryPosition(era, before));
      }),
    );
  });
});
