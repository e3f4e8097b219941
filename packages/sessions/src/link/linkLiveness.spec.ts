import { expect } from 'chai';
import createMessageLiveness from './createMessageLiveness';
import createPingLiveness from './createPingLiveness';

const ACTIVITY = {
  isUp: true,
  hasUnansweredCalls: false,
  sinceOpenedMs: 10_000,
  sinceReceivedMs: 0,
  sinceUsedMs: 0,
  sincePingMs: undefined,
};

describe('link liveness', () => {
  describe('by messages', () => {
    const liveness = createMessageLiveness(1_000);

    it('closes a stream that received nothing for its time limit', () => {
      expect(liveness.check({ ...ACTIVITY, sinceReceivedMs: 1_001 })).to.equal('close');
      expect(liveness.check({ ...ACTIVITY, sinceReceivedMs: 999 })).to.equal('keep');
    });

    it('closes a new stream without a first message', () => {
      expect(liveness.check({ ...ACTIVITY, isUp: false, sinceOpenedMs: 601 })).to.equal('close');
    });
  });

  describe('by pings', () => {
    const liveness = createPingLiveness();

    it('sends nothing on a stream at rest, and closes it when it is unused', () => {
      expect(liveness.check({ ...ACTIVITY, sinceReceivedMs: 20_000 })).to.equal('keep');
      expect(liveness.check({ ...ACTIVITY, sinceUsedMs: 31_000 })).to.equal('close');
    });

    it('pings while a call is unanswered, and closes the stream without an answer', () => {
      const unanswered = { ...ACTIVITY, hasUnansweredCalls: true, sinceReceivedMs: 500 };
      expect(liveness.check(unanswered)).to.equal('ping');
      expect(liveness.check({ ...unanswered, sincePingMs: 300 })).to.equal('keep');
      expect(liveness.check({ ...unanswered, sincePingMs: 601 })).to.equal('close');
    });

    it('holds a call back on a stream that may have died while it was idle', () => {
      expect(liveness.needsPingBefore(5_000)).to.equal(true);
      expect(liveness.needsPingBefore(100)).to.equal(false);
    });
  });
});
