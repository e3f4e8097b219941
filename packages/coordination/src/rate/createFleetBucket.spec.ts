import { expect } from 'chai';
import createFleetBucket from './createFleetBucket';

const limit = { ratePerS: 40, burst: 40 };
const REPORT_MS = 250;
const STEP_MS = 5;
/** What the operator's rule allows in a window of 5 s, and what it adds to the limit. */
const WINDOW_MS = 5_000;
const allowed = (limit.ratePerS * 5 + limit.burst) * 1.1 + 20;

/** Three VMs are offered one account's operations at a rate; returns the most admitted in a window. */
const mostInWindow = (offeredPerS: number, isCharged: boolean): number => {
  const buckets = [0, 1, 2].map(() => createFleetBucket(limit, 0));
  const reported = [0, 0, 0];
  const admittedAtMs: number[] = [];
  let owed = 0;
  for (let nowMs = 10_000; nowMs < 30_000; nowMs += STEP_MS) {
    owed += (offeredPerS * STEP_MS) / 1_000;
    for (; owed >= 1; owed -= 1) {
      const index = Math.floor(owed + nowMs / STEP_MS) % 3;
      if (buckets[index]?.take(nowMs)) {
        admittedAtMs.push(nowMs);
        reported[index] = (reported[index] ?? 0) + 1;
      }
    }
    if (isCharged && nowMs % REPORT_MS === 0) {
      buckets.forEach((bucket, index) =>
        bucket.charge(
          reported.reduce((sum, count, other) => (other === index ? sum : sum + count), 0),
          nowMs,
        ),
      );
      reported.fill(0);
    }
  }
  return Math.max(
    ...admittedAtMs.map(
      (startMs, index) => admittedAtMs.slice(index).filter((ms) => ms < startMs + WINDOW_MS).length,
    ),
  );
};

describe('createFleetBucket', () => {
  describe('with one account at 7.5 times its usual rate on three VMs', () => {
    const offeredPerS = 7.5 * 25;

    it('stays within the limit and its tolerance', () => {
      expect(mostInWindow(offeredPerS, true)).to.be.at.most(allowed);
    });

    it('would not, if what others admit were not charged', () => {
      expect(mostInWindow(offeredPerS, false)).to.be.above(allowed);
    });
  });

  it('admits all of an account that keeps to its rate', () => {
    expect(mostInWindow(35, true)).to.be.at.least(35 * 5 - 1);
  });

  it('begins empty', () => {
    const bucket = createFleetBucket(limit, 0);
    expect(bucket.take(0)).to.equal(false);
    expect(bucket.dueInMs(0)).to.equal(25);
    expect(bucket.take(25)).to.equal(true);
  });

  it('gives a VM its part while others cannot report', () => {
    const bucket = createFleetBucket(limit, 0);
    bucket.setShare(0.25, 0);
    expect(bucket.dueInMs(0)).to.equal(100);
  });

  it('applies a lower limit at once', () => {
    const bucket = createFleetBucket(limit, 0);
    bucket.setLimit({ ratePerS: 1, burst: 1 }, 10_000);
    expect([bucket.take(10_000), bucket.take(10_000)]).to.deep.equal([true, false]);
  });
});
