import { expect } from 'chai';
import createVmLease from '../witness/createVmLease';
import createShareHolder from './createShareHolder';
import createShareKeeper from './createShareKeeper';
import type ShareHolder from './shareHolder';
import WHOLE_UNITS from './wholeUnits';

const LEASE_MS = 60_000;
const LIMIT = { ratePerS: 10, burst: 10 };
/** Reports until each holder has its part by demand. */
const ROUNDS = 3;

/** A keeper and two holders that have spent all but fractions of tokens. */
const createSpentShare = () => {
  const lease = createVmLease(LEASE_MS);
  lease.seat({ term: 1, groups: [] }, 0);
  const common = { limit: LIMIT, leaseMs: LEASE_MS, lease, nowMs: 0 };
  const none = new Set<string>();
  const keeper = createShareKeeper({
    ...common,
    epoch: 1,
    unreported: none,
    former: none,
    ownUnits: 0,
    ownTokens: 0,
    lapsedAtMs: 0,
  });
  const startHolder = (vm: string): ShareHolder =>
    createShareHolder({ ...common, share: 'a', vm, incarnation: 1 });
  const report = (holder: ShareHolder, neededTokens: number, nowMs: number): void =>
    holder.accept(keeper.sync(holder.report(1, neededTokens, nowMs), nowMs), nowMs);
  const holders = ['vm-1', 'vm-2'].map(startHolder);
  holders.forEach((holder) => holder.count(0));
  for (let round = 0; round < ROUNDS; round += 1) {
    holders.forEach((holder) => report(holder, 0, 0));
  }
  [keeper, ...holders].forEach((one) => {
    while (one.take(0));
  });
  const [asking, other] = holders;
  if (!asking || !other) throw new Error('two holders are needed');
  return { keeper, asking, other, report };
};

describe('scarce tokens', () => {
  describe('of which each VM has only a part', () => {
    it('come together where a request waits', () => {
      const { keeper, asking, other, report } = createSpentShare();
      expect([keeper, asking, other].some((one) => one.take(0))).to.equal(false);
      const asked = keeper.recallable((vm) => vm === 'vm-2', 0);
      other.release(0, asked[0]?.partUnits);
      report(other, 0, 0);
      report(asking, 1, 0);
      expect(asking.take(0)).to.equal(true);
    });
  });

  describe('of an account over its rate', () => {
    it('move no units', () => {
      const { keeper, asking, other, report } = createSpentShare();
      for (let count = 0; count < 2 * LIMIT.ratePerS; count += 1) other.count(0);
      report(other, 0, 0);
      const asked = keeper.recallable((vm) => vm === 'vm-2', 0);
      expect(asked[0]?.partUnits).to.equal(WHOLE_UNITS);
      expect(other.release(0, asked[0]?.partUnits)).to.equal(false);
      expect(asking.take(0)).to.equal(false);
    });
  });

  describe('of a VM that is asked for them while a request waits', () => {
    it('leave it room for one token', () => {
      const { other } = createSpentShare();
      other.release(0, 1, 1);
      expect(other.units(0)).to.be.at.least(WHOLE_UNITS / LIMIT.burst);
    });
  });
});
