import { expect } from 'chai';
import createWorkTracker from './createWorkTracker';

describe('createWorkTracker', () => {
  describe('cutOff', () => {
    it('calls the listeners that are left, once', () => {
      const tracker = createWorkTracker();
      const calls: string[] = [];
      tracker.onCutOff(() => calls.push('first'));
      tracker.onCutOff(() => calls.push('second'))();
      expect(calls).to.deep.equal([]);
      tracker.cutOff();
      expect(calls).to.deep.equal(['first']);
    });

    it('calls a listener that comes later at once', () => {
      const tracker = createWorkTracker();
      tracker.cutOff();
      let isCalled = false;
      tracker.onCutOff(() => {
        isCalled = true;
      });
      expect(isCalled).to.equal(true);
    });
  });
});
