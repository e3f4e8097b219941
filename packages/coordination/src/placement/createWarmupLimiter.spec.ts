import { expect } from 'chai';
import createWarmupLimiter from './createWarmupLimiter';

const STEP_MS = 1;

/** Sends whatever is allowed in each step; returns the times. */
const sendGreedily = (ratePerS: number, fromMs: number, untilMs: number): number[] => {
  const limiter = createWarmupLimiter(ratePerS, fromMs);
  const sentAtMs: number[] = [];
  for (let nowMs = fromMs; nowMs < untilMs; nowMs += STEP_MS) {
    while (limiter.canSend(nowMs)) {
      limiter.noteSent(nowMs);
      sentAtMs.push(nowMs);
    }
  }
  return sentAtMs;
};
const countBusiestSecond = (sentAtMs: readonly number[]): number =>
  Math.max(
    ...sentAtMs.map(
      (fromMs) => sentAtMs.filter((atMs) => atMs >= fromMs && atMs < fromMs + 1_000).length,
    ),
  );

describe('createWarmupLimiter', () => {
  it('sends nothing at first, and then the rate', () => {
    expect(createWarmupLimiter(50, 0).canSend(0)).to.equal(false);
    expect(sendGreedily(50, 0, 2_001)).to.have.length(100);
    expect(createWarmupLimiter(50, 0).nextSendAtMs(5)).to.equal(20);
  });

  [0.5, 4, 50, 400].forEach((ratePerS) =>
    it(`keeps two owners in a row near ${ratePerS} a second, in any second`, () => {
      for (let handoverMs = 1_000; handoverMs < 1_100; handoverMs += 7) {
        const sent = [
          ...sendGreedily(ratePerS, 0, handoverMs),
          ...sendGreedily(ratePerS, handoverMs, 4_000),
        ];
        expect(countBusiestSecond(sent)).to.be.at.most(1.1 * ratePerS + 2);
      }
    }),
  );

  it('makes up for a statement that could not be held back', () => {
    const limiter = createWarmupLimiter(10, 0);
    limiter.noteSent(0);
    expect(limiter.canSend(150)).to.equal(false);
    expect(limiter.nextSendAtMs(150)).to.equal(200);
  });
});
