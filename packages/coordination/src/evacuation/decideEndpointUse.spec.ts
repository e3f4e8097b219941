import { expect } from 'chai';
import decideEndpointUse from './decideEndpointUse';

const replica = { phase: 'inService' as const, isLeaving: false, isPrimary: false };
const primary = { ...replica, isPrimary: true };

describe('decideEndpointUse', () => {
  it('uses an endpoint in service for everything', () => {
    expect(Object.values(decideEndpointUse(replica))).to.deep.equal([true, true, true, true]);
  });

  it('gives a leaving replica no new work, and a leaving primary all of it', () => {
    const leaving = { isLeaving: true };
    expect(decideEndpointUse({ ...replica, ...leaving })).to.include({
      acceptsNewWork: false,
      isCandidate: false,
      mayContinueWork: true,
    });
    expect(decideEndpointUse({ ...primary, ...leaving }).acceptsNewWork).to.equal(true);
  });

  describe('while its data centre is being evacuated', () => {
    const phase = 'evacuating' as const;

    it('keeps new work from a replica, whose open transactions continue', () => {
      expect(decideEndpointUse({ ...replica, phase })).to.deep.equal({
        acceptsNewWork: false,
        mayContinueWork: true,
        isCandidate: false,
        isContacted: true,
      });
    });

    it('lets the primary serve, but not be chosen again', () => {
      const use = decideEndpointUse({ ...primary, phase });
      expect(use).to.include({ acceptsNewWork: true, isCandidate: false });
    });
  });

  it('sends nothing to an evacuated data centre, not even to the primary', () => {
    [replica, primary].forEach((endpoint) => {
      const use = decideEndpointUse({ ...endpoint, phase: 'evacuated' });
      expect(Object.values(use)).to.deep.equal([false, false, false, false]);
    });
  });
});
