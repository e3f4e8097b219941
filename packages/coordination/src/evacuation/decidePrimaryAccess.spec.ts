import { expect } from 'chai';
import decidePrimaryAccess from './decidePrimaryAccess';
import type EvacuationPhase from './evacuationPhase';

const decide = (
  primaryPhase: EvacuationPhase | undefined,
  memberPhases: EvacuationPhase[],
  hasCandidate: boolean,
) => decidePrimaryAccess({ primaryPhase, memberPhases, hasCandidate: () => hasCandidate });

describe('decidePrimaryAccess', () => {
  describe('with a primary', () => {
    it('lets statements run there until its data centre is evacuated', () => {
      expect(decide('inService', ['inService', 'evacuated'], false)).to.equal('allowed');
      expect(decide('evacuating', ['evacuating'], false)).to.equal('allowed');
    });

    it('sends none to an evacuated data centre, also while a candidate is to replace it', () => {
      expect(decide('evacuated', ['evacuated', 'inService'], true)).to.equal('wait');
    });

    it('keeps no caller waiting for a primary that nothing can replace', () => {
      expect(decide('evacuated', ['evacuated'], false)).to.equal('refused');
    });
  });

  describe('without a primary', () => {
    it('lets statements wait for a promotion, also of a member that is down', () => {
      expect(decide(undefined, ['evacuated', 'inService'], true)).to.equal('wait');
      expect(decide(undefined, ['inService'], false)).to.equal('wait');
    });

    it('refuses them when an evacuation leaves no candidate', () => {
      expect(decide(undefined, ['evacuated', 'inService'], false)).to.equal('refused');
    });
  });
});
