import { expect } from 'chai';
import resolveRequestOutcome from './resolveRequestOutcome';
import type RequestRow from './requestRow';

const FINGERPRINT = 'same';

const judgeFoundRow = (chosen: Partial<RequestRow>, isHeld = true) =>
  resolveRequestOutcome(
    {
      kind: 'found',
      record: { state: 'run', result: '"answer"', fingerprint: FINGERPRINT, ...chosen },
      isHeld,
    },
    FINGERPRINT,
  );

describe('resolveRequestOutcome', () => {
  describe('without a row that a majority holds', () => {
    it('returns open when the primary was unreachable', () => {
      expect(resolveRequestOutcome({ kind: 'unreachable' }, FINGERPRINT)).to.deep.equal({
        kind: 'open',
      });
    });

    it('returns open while no majority holds the cancellation', () => {
      const judgement = resolveRequestOutcome({ kind: 'cancelledNow', isHeld: false }, FINGERPRINT);
      expect(judgement).to.deep.equal({ kind: 'open' });
    });

    it('returns open while no majority holds the row', () => {
      expect(judgeFoundRow({}, false)).to.deep.equal({ kind: 'open' });
      expect(judgeFoundRow({ state: 'cancelled' }, false)).to.deep.equal({ kind: 'open' });
      expect(judgeFoundRow({ fingerprint: 'other' }, false)).to.deep.equal({ kind: 'open' });
    });
  });

  describe('with a row that a majority holds', () => {
    it('returns cancelled for a cancellation by this or an earlier lookup', () => {
      const judgement = resolveRequestOutcome({ kind: 'cancelledNow', isHeld: true }, FINGERPRINT);
      expect(judgement).to.deep.equal({ kind: 'cancelled' });
      expect(judgeFoundRow({ state: 'cancelled', result: null })).to.deep.equal({
        kind: 'cancelled',
      });
    });

    it('returns the stored reply of a request that ran', () => {
      expect(judgeFoundRow({})).to.deep.equal({ kind: 'ran', result: '"answer"' });
      expect(judgeFoundRow({ result: null })).to.deep.equal({ kind: 'ran', result: null });
    });

    it('detects another statement with the same id, whether it ran or was cancelled', () => {
      expect(judgeFoundRow({ fingerprint: 'other' })).to.deep.equal({ kind: 'otherStatement' });
      const cancelled = judgeFoundRow({ fingerprint: 'other', state: 'cancelled' });
      expect(cancelled).to.deep.equal({ kind: 'otherStatement' });
    });

    it('treats a row without a fingerprint as the same statement', () => {
      expect(judgeFoundRow({ fingerprint: null })).to.deep.equal({
        kind: 'ran',
        result: '"answer"',
      });
    });
  });
});
