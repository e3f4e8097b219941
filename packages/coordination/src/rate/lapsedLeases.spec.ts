import { expect } from 'chai';
import fc from 'fast-check';
import createVmLease from '../witness/createVmLease';
import createShareHolder from './createShareHolder';
import createShareKeeper from './createShareKeeper';
import type ShareGrant from './shareGrant';
import WHOLE_UNITS from './wholeUnits';

const LEASE_MS = 1_000;
const LONG_LEASE_MS = 1_000_000;
const WAIT_MS = 400;
const LIMIT = { ratePerS: 100, burst: 40 };
const GROUPS = [['witness']];

/** One holder whose lease lapses and stands again, and a keeper that takes its units back. */
const createModel = () => {
  let nowMs = 0;
  let term = 1;
  let renewedAtMs = 0;
  let isPromised = false;
  let seen: { lapse(): void; lapsesAtMs: number } | undefined;
  const answers: ShareGrant[] = [];
  const lease = createVmLease(LEASE_MS);
  const keepersLease = createVmLease(LEASE_MS);
  keepersLease.seat({ term: 1, groups: [] }, nowMs);

  const renew = (): void => {
    renewedAtMs = nowMs;
    lease.renew('witness', term, nowMs, nowMs);
  };
  lease.seat({ term, groups: GROUPS }, nowMs);
  renew();

  const keeper = createShareKeeper({
    ...{ limit: LIMIT, epoch: 1, unreported: new Set(), former: new Set(), ownUnits: 0 },
    ...{ ownTokens: 0, leaseMs: LONG_LEASE_MS, lease: keepersLease, lapsedAtMs: 0, nowMs },
  });
  const holder = createShareHolder({
    ...{ share: 'a', vm: 'vm', incarnation: 1, limit: LIMIT },
    ...{ leaseMs: LONG_LEASE_MS, lease, nowMs },
  });

  const actions = {
    wait: () => {
      nowMs += WAIT_MS;
    },
    renew: () => !isPromised && renew(),
    report: () => answers.push(keeper.sync(holder.report(1, 20, nowMs), nowMs)),
    deliver: () => {
      const answer = answers.shift();
      if (answer) holder.accept(answer, nowMs);
    },
    /** The witness promises to renew the lease of this term no more. */
    prove: () => {
      const allotment = keeper.allotmentOf('vm');
      if (!allotment || allotment.lease.term !== term) return;
      isPromised = true;
      const lapse = () => keeper.noteLapsed('vm', allotment, nowMs);
      seen = { lapse, lapsesAtMs: renewedAtMs + LEASE_MS };
    },
    conclude: () => seen && nowMs >= seen.lapsesAtMs && seen.lapse(),
    retake: () => {
      if (lease.standing(nowMs) !== undefined) return;
      term += 1;
      isPromised = false;
      lease.seat({ term, groups: GROUPS }, nowMs);
      renew();
    },
  };

  return {
    actions,
    unitsInUse: (): number => keeper.units(nowMs) + holder.units(nowMs),
  };
};

const ACTIONS = ['wait', 'renew', 'report', 'deliver', 'prove', 'conclude', 'retake'] as const;
const stepsArbitrary = fc.array(fc.constantFrom(...ACTIONS, 'wait', 'conclude'), {
  minLength: 10,
  maxLength: 60,
});

describe('shares of a rate under a lease that lapses', () => {
  describe('with late answers, units taken back and a next term', () => {
    it('are never in use twice', () => {
      fc.assert(
        fc.property(stepsArbitrary, fc.boolean(), (steps, isWatched) => {
          const model = createModel();
          steps.forEach((step) => {
            model.actions[step]();
            // Looking at a VM's units lets it notice a lapse.
            if (isWatched) expect(model.unitsInUse()).to.be.at.most(WHOLE_UNITS);
          });
          expect(model.unitsInUse()).to.be.at.most(WHOLE_UNITS);
        }),
        { numRuns: 5_000 },
      );
    });
  });
});
