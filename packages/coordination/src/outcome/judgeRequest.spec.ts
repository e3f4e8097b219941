import { expect } from 'chai';
import judgeRequest from './judgeRequest';
import type RequestRecord from './requestRecord';

const FINGERPRINT = 'same';

const found = (chosen: Partial<RequestRecord>, isHeld = true) =>
  judgeRequest(
    {
      kind: 'found',
      record: { state: 'run', result: '"answer"', fingerprint: FINGERPRINT, ...chosen },
      isHeld,
    },
    FINGERPRINT,
  );

describe('the outcome of a request by a lookup', () => {
  describe('that nothing proves', () => {
    it('is open when the primary was not reached', () => {
      expect(judgeRequest({ kind: 'unreachable' }, FINGERPRINT)).to.deep.equal({ kind: 'open' });
    });

    it('is open while no majority holds the cancellation', () => {
      const judgement = judgeRequest({ kind: 'cancelledNow', isHeld: false }, FINGERPRINT);
      expect(judgement).to.deep.equal({ kind: 'open' });
    });

    it('is open while no majority holds the row', () => {
      expect(found({}, false)).to.deep.equal({ kind: 'open' });
      expect(found({ state: 'cancelled' }, false)).to.deep.equal({ kind: 'open' });
      expect(found({ fingerprint: 'other' }, false)).to.deep.equal({ kind: 'open' });
    });
  });

  describe('that a majority holds', () => {
    it('is cancelled by the lookup itself or by an earlier one', () => {
      const judgement = judgeRequest({ kind: 'cancelledNow', isHeld: true }, FINGERPRINT);
      expect(judgement).to.deep.equal({ kind: 'cancelled' });
      expect(found({ state: 'cancelled', result: null })).to.deep.equal({ kind: 'cancelled' });
    });

    it('gives the stored answer of a request that ran', () => {
      expect(found({})).to.deep.equal({ kind: 'ran', result: '"answer"' });
      expect(found({ result: null })).to.deep.equal({ kind: 'ran', result: null });
    });

    it('tells another statement under the id apart, whatever became of it', () => {
      expect(found({ fingerprint: 'other' })).to.deep.equal({ kind: 'otherStatement' });
      const cancelled = found({ fingerprint: 'other', state: 'cancelled' });
      expect(cancelled).to.deep.equal({ kind: 'otherStatement' });
    });

    it('takes a row without a fingerprint for the same statement', () => {
      expect(found({ fingerprint: null })).to.deep.equal({ kind: 'ran', result: '"answer"' });
    });
  });
});
