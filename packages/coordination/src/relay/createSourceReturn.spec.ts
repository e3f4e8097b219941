import { expect } from 'chai';
import createSourceReturn from './createSourceReturn';

const DELAY_MS = 3_000;

describe('createSourceReturn', () => {
  it('is due once one source has been preferred for the delay', () => {
    const { isDue } = createSourceReturn(DELAY_MS);
    expect(isDue('relay', 'parent', 1_000)).to.equal(false);
    expect(isDue('relay', 'parent', 3_999)).to.equal(false);
    expect(isDue('relay', 'parent', 4_000)).to.equal(true);
  });

  it('begins again when another source is preferred, and is never due for the current one', () => {
    const { isDue } = createSourceReturn(DELAY_MS);
    isDue('relay', 'parent', 0);
    expect(isDue('relay', 'other', 3_500)).to.equal(false);
    expect(isDue('relay', 'other', 6_500)).to.equal(true);
    expect(isDue('other', 'other', 20_000)).to.equal(false);
  });

  it('is not due while the preferred source has failed', () => {
    const { isDue } = createSourceReturn(DELAY_MS);
    expect(isDue('relay', undefined, 0)).to.equal(false);
    expect(isDue('relay', undefined, 9_000)).to.equal(false);
  });
});
