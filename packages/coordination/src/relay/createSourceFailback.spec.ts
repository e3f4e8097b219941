import { expect } from 'chai';
import createSourceFailback from './createSourceFailback';

const DELAY_MS = 3_000;

describe('createSourceReturn', () => {
  it('is due once the same source has been preferred for the delay', () => {
    const { isDue } = createSourceFailback(DELAY_MS);
    expect(isDue('relay', 'parent', 1_000)).to.equal(false);
    expect(isDue('relay', 'parent', 3_999)).to.equal(false);
    expect(isDue('relay', 'parent', 4_000)).to.equal(true);
  });

  it('restarts the delay when the preferred source changes; is not due for the current one', () => {
    const { isDue } = createSourceFailback(DELAY_MS);
    isDue('relay', 'parent', 0);
    expect(isDue('relay', 'other', 3_500)).to.equal(false);
    expect(isDue('relay', 'other', 6_500)).to.equal(true);
    expect(isDue('other', 'other', 20_000)).to.equal(false);
  });

  it('is not due while the preferred source has failed', () => {
    const { isDue } = createSourceFailback(DELAY_MS);
    expect(isDue('relay', undefined, 0)).to.equal(false);
    expect(isDue('relay', undefined, 9_000)).to.equal(false);
  });
});
