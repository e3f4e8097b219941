import { expect } from 'chai';
import fc from 'fast-check';
import createVmLease from '../witness/createVmLease';
import createQuotaConsumer from './createQuotaConsumer';
import createQuotaAllocator from './createQuotaAllocator';
import type QuotaGrant from './quotaGrant';
import WHOLE_UNITS from './wholeUnits';

const LEASE_MS = 1_000;
const LONG_LEASE_MS = 1_000_000;
const WAIT_MS = 400;
const LIMIT = { ratePerS: 100, burst: 40 };
const GROUPS = [['witness']];

/** A consumer whose lease expires and is renewed, and an allocator that reclaims its units. */
const createModel = () => {
  let nowMs = 0;
  let term = 1;
  let renewedAtMs = 0;
  let hasPromised = false;
  let proof: { reclaim(): void; expiresAtMs: number } | undefined;
  const answers: QuotaGrant[] = [];
  const lease = createVmLease(LEASE_MS);
  const allocatorLease = createVmLease(LEASE_MS);
  allocatorLease.setRecord({ term: 1, groups: [] }, nowMs);

  const renew = (): void => {
    renewedAtMs = nowMs;
    lease.renew('witness', term, nowMs, nowMs);
  };
  lease.setRecord({ term, groups: GROUPS }, nowMs);
  renew();

  const allocator = createQuotaAllocator({
    ...{ limit: LIMIT, epoch: 1, unreportedVms: new Set(), former: new Set(), initialUnits: 0 },
    ...{
      initialTokens: 0,
      leaseMs: LONG_LEASE_MS,
      lease: allocatorLease,
      unreportedExpireAtMs: 0,
      nowMs,
    },
  });
  const consumer = createQuotaConsumer({
    ...{ share: 'a', vm: 'vm', incarnation: 1, limit: LIMIT },
    ...{ leaseMs: LONG_LEASE_MS, lease, nowMs },
  });

  const actions = {
    wait: () => {
      nowMs += WAIT_MS;
    },
    renew: () => !hasPromised && renew(),
    report: () => answers.push(allocator.handleReport(consumer.report(1, 20, nowMs), nowMs)),
    deliver: () => {
      const answer = answers.shift();
      if (answer) consumer.applyGrant(answer, nowMs);
    },
    /** The witness promises not to renew the lease of this term again. */
    proveExpiry: () => {
      const allocation = allocator.allocationOf('vm');
      if (!allocation || allocation.lease.term !== term) return;
      hasPromised = true;
      const reclaim = () => allocator.reclaimExpiredVm('vm', allocation, nowMs);
      proof = { reclaim, expiresAtMs: renewedAtMs + LEASE_MS };
    },
    reclaim: () => proof && nowMs >= proof.expiresAtMs && proof.reclaim(),
    startNextTerm: () => {
      if (lease.currentGeneration(nowMs) !== undefined) return;
      term += 1;
      hasPromised = false;
      lease.setRecord({ term, groups: GROUPS }, nowMs);
      renew();
    },
  };

  return {
    actions,
    unitsInUse: (): number => allocator.units(nowMs) + consumer.units(nowMs),
  };
};

const ACTIONS = [
  'wait',
  'renew',
  'report',
  'deliver',
  'proveExpiry',
  'reclaim',
  'startNextTerm',
] as const;
const stepsArbitrary = fc.array(fc.constantFrom(...ACTIONS, 'wait', 'reclaim'), {
  minLength: 10,
  maxLength: 60,
});

describe('quota units under a lease that expires', () => {
  describe('with late answers, reclaimed units and a lease of a later term', () => {
    it('are never used by two VMs at once', () => {
      fc.assert(
        fc.property(stepsArbitrary, fc.boolean(), (steps, isObserved) => {
          const model = createModel();
          steps.forEach((step) => {
            model.actions[step]();
            // Reading a VM's units makes it notice an expired lease.
            if (isObserved) expect(model.unitsInUse()).to.be.at.most(WHOLE_UNITS);
          });
          expect(model.unitsInUse()).to.be.at.most(WHOLE_UNITS);
        }),
        { numRuns: 5_000 },
      );
    });
  });
});
