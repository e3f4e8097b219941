import { expect } from 'chai';
import createReplicatedBucket from './createReplicatedBucket';

const limit = { ratePerS: 40, burst: 40 };
const REPORT_MS = 250;
const STEP_MS = 5;
/** Window over which the acceptance rule limits admissions: the limit plus 10 % and 20 requests. */
const WINDOW_MS = 5_000;
const maxAdmitted = (limit.ratePerS * 5 + limit.burst) * 1.1 + 20;

/** Offers one account's requests to three VMs; returns the most admitted in any window. */
const maxAdmittedInWindow = (offeredPerS: number, isCharged: boolean): number => {
  const buckets = [0, 1, 2].map(() => createReplicatedBucket(limit, 0));
  const unreportedAdmissions = [0, 0, 0];
  const admittedAtMs: number[] = [];
  let dueRequests = 0;
  for (let nowMs = 10_000; nowMs < 30_000; nowMs += STEP_MS) {
    dueRequests += (offeredPerS * STEP_MS) / 1_000;
    for (; dueRequests >= 1; dueRequests -= 1) {
      const index = Math.floor(dueRequests + nowMs / STEP_MS) % 3;
      if (buckets[index]?.take(nowMs)) {
        admittedAtMs.push(nowMs);
        unreportedAdmissions[index] = (unreportedAdmissions[index] ?? 0) + 1;
      }
    }
    if (isCharged && nowMs % REPORT_MS === 0) {
      buckets.forEach((bucket, index) =>
        bucket.charge(
          unreportedAdmissions.reduce(
            (sum, count, other) => (other === index ? sum : sum + count),
            0,
          ),
          nowMs,
        ),
      );
      unreportedAdmissions.fill(0);
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

    it('admits no more than the limit and its tolerance', () => {
      expect(maxAdmittedInWindow(offeredPerS, true)).to.be.at.most(maxAdmitted);
    });

    it('exceeds the tolerance if admissions of other VMs are not charged', () => {
      expect(maxAdmittedInWindow(offeredPerS, false)).to.be.above(maxAdmitted);
    });
  });

  it('admits all requests of an account below its rate', () => {
    expect(maxAdmittedInWindow(35, true)).to.be.at.least(35 * 5 - 1);
  });

  it('starts without tokens', () => {
    const bucket = createReplicatedBucket(limit, 0);
    expect(bucket.take(0)).to.equal(false);
    expect(bucket.tokenDueInMs(0)).to.equal(25);
    expect(bucket.take(25)).to.equal(true);
  });

  it('refills at a fraction of the rate while other VMs cannot report', () => {
    const bucket = createReplicatedBucket(limit, 0);
    bucket.setLimitFraction(0.25, 0);
    expect(bucket.tokenDueInMs(0)).to.equal(100);
  });

  it('applies a lower limit at once', () => {
    const bucket = createReplicatedBucket(limit, 0);
    bucket.setLimit({ ratePerS: 1, burst: 1 }, 10_000);
    expect([bucket.take(10_000), bucket.take(10_000)]).to.deep.equal([true, false]);
  });
});
