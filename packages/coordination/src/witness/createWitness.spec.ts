import { expect } from 'chai';
import certainLeaseMs from './certainLeaseMs';
import createWitness from './createWitness';

const SHORT = { term: 2, leaseMs: 500 };
const LONG = { term: 1, leaseMs: 5_000 };

/** A witness whose own lease is short. */
const startWitness = (mayHavePromised = false) =>
  createWitness({ leaseMs: SHORT.leaseMs, startedAtMs: 0, mayHavePromised });

describe('witness of leases of several lengths', () => {
  describe('that may have lost promises', () => {
    it('renews a lease once its own length has passed', () => {
      const witness = startWitness(true);
      expect(witness.renew('vm-1', SHORT, certainLeaseMs(SHORT.leaseMs))).to.equal(true);
      expect(witness.renew('vm-1', LONG, certainLeaseMs(LONG.leaseMs) - 1)).to.equal(false);
      expect(witness.renew('vm-1', LONG, certainLeaseMs(LONG.leaseMs))).to.equal(true);
    });
  });

  describe('that hears from a VM', () => {
    it('takes it for alive by the length of its lease', () => {
      const witness = startWitness();
      witness.renew('vm-1', LONG, 0);
      expect(witness.promise('vm-1', LONG, 2_000).isPromised).to.equal(false);
      expect(witness.promise('vm-1', LONG, 3_000).isPromised).to.equal(true);
    });
  });

  describe('that has promised', () => {
    it('keeps the promise about a long lease when asked about a shorter one', () => {
      const witness = startWitness();
      witness.promise('vm-1', LONG, 0);
      witness.promise('vm-1', SHORT, 100);
      expect(witness.renew('vm-1', LONG, LONG.leaseMs)).to.equal(false);
    });

    it('keeps a promise about a lease that it renewed at a greater length', () => {
      const witness = startWitness();
      witness.renew('vm-1', LONG, 0);
      witness.promise('vm-1', { term: 1, leaseMs: SHORT.leaseMs }, LONG.leaseMs);
      expect(witness.renew('vm-1', LONG, 2 * LONG.leaseMs)).to.equal(false);
    });
  });
});
