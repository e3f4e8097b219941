import { expect } from 'chai';
import createVmLease from '../witness/createVmLease';
import createQuotaConsumer from './createQuotaConsumer';
import createQuotaAllocator from './createQuotaAllocator';
import type QuotaConsumer from './quotaConsumer';
import WHOLE_UNITS from './wholeUnits';

const LEASE_MS = 60_000;
const LIMIT = { ratePerS: 10, burst: 10 };
/** Reports until each consumer has its fair share. */
const REPORT_ROUNDS = 3;

/** An allocator and two consumers that have spent all but fractions of tokens. */
const createDepletedQuota = () => {
  const lease = createVmLease(LEASE_MS);
  lease.setRecord({ term: 1, groups: [] }, 0);
  const commonOptions = { limit: LIMIT, leaseMs: LEASE_MS, lease, nowMs: 0 };
  const noVms = new Set<string>();
  const allocator = createQuotaAllocator({
    ...commonOptions,
    epoch: 1,
    unreportedVms: noVms,
    former: noVms,
    initialUnits: 0,
    initialTokens: 0,
    unreportedExpireAtMs: 0,
  });
  const startConsumer = (vm: string): QuotaConsumer =>
    createQuotaConsumer({ ...commonOptions, share: 'a', vm, incarnation: 1 });
  const report = (consumer: QuotaConsumer, neededTokens: number, nowMs: number): void =>
    consumer.applyGrant(
      allocator.handleReport(consumer.report(1, neededTokens, nowMs), nowMs),
      nowMs,
    );
  const consumers = ['vm-1', 'vm-2'].map(startConsumer);
  consumers.forEach((consumer) => consumer.count(0));
  for (let round = 0; round < REPORT_ROUNDS; round += 1) {
    consumers.forEach((consumer) => report(consumer, 0, 0));
  }
  [allocator, ...consumers].forEach((bucketUser) => {
    while (bucketUser.take(0));
  });
  const [requester, other] = consumers;
  if (!requester || !other) throw new Error('the test needs two consumers');
  return { keeper: allocator, requester, other, report };
};

describe('scarce tokens', () => {
  describe('with less than one token on each VM', () => {
    it('are collected on the VM where a request waits', () => {
      const { keeper: allocator, requester, other, report } = createDepletedQuota();
      expect([allocator, requester, other].some((bucketUser) => bucketUser.take(0))).to.equal(
        false,
      );
      const recallTargets = allocator.recallTargets((vm) => vm === 'vm-2', 0);
      other.release(0, recallTargets[0]?.partUnits);
      report(other, 0, 0);
      report(requester, 1, 0);
      expect(requester.take(0)).to.equal(true);
    });
  });

  describe('with an account over its rate', () => {
    it('do not move units between VMs', () => {
      const { keeper: allocator, requester, other, report } = createDepletedQuota();
      for (let count = 0; count < 2 * LIMIT.ratePerS; count += 1) other.count(0);
      report(other, 0, 0);
      const recallTargets = allocator.recallTargets((vm) => vm === 'vm-2', 0);
      expect(recallTargets[0]?.partUnits).to.equal(WHOLE_UNITS);
      expect(other.release(0, recallTargets[0]?.partUnits)).to.equal(false);
      expect(requester.take(0)).to.equal(false);
    });
  });

  describe('with a recall to a VM on which a request waits', () => {
    it('leave that VM enough units for one token', () => {
      const { other } = createDepletedQuota();
      other.release(0, 1, 1);
      expect(other.units(0)).to.be.at.least(WHOLE_UNITS / LIMIT.burst);
    });
  });
});
