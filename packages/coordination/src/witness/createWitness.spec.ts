import { expect } from 'chai';
import leaseMsWithMargin from './leaseMsWithMargin';
import createWitness from './createWitness';

const SHORT_LEASE = { term: 2, leaseMs: 500 };
const LONG_LEASE = { term: 1, leaseMs: 5_000 };

/** A witness whose own lease has the short length. */
const startWitness = (mayHavePromised = false) =>
  createWitness({ leaseMs: SHORT_LEASE.leaseMs, startedAtMs: 0, mayHavePromised });

describe('witness of leases of different lengths', () => {
  describe('after a restart that may have lost promises', () => {
    it('renews each lease only after the length of that lease', () => {
      const witness = startWitness(true);
      expect(witness.renew('vm-1', SHORT_LEASE, leaseMsWithMargin(SHORT_LEASE.leaseMs))).to.equal(
        true,
      );
      expect(witness.renew('vm-1', LONG_LEASE, leaseMsWithMargin(LONG_LEASE.leaseMs) - 1)).to.equal(
        false,
      );
      expect(witness.renew('vm-1', LONG_LEASE, leaseMsWithMargin(LONG_LEASE.leaseMs))).to.equal(
        true,
      );
    });
  });

  describe('with a recent renewal', () => {
    it('refuses a promise for half the length of the renewed lease', () => {
      const witness = startWitness();
      witness.renew('vm-1', LONG_LEASE, 0);
      expect(witness.promise('vm-1', LONG_LEASE, 2_000).isPromised).to.equal(false);
      expect(witness.promise('vm-1', LONG_LEASE, 3_000).isPromised).to.equal(true);
    });
  });

  describe('after a promise', () => {
    it('keeps the promise for the longer lease when asked about a shorter one', () => {
      const witness = startWitness();
      witness.promise('vm-1', LONG_LEASE, 0);
      witness.promise('vm-1', SHORT_LEASE, 100);
      expect(witness.renew('vm-1', LONG_LEASE, LONG_LEASE.leaseMs)).to.equal(false);
    });

    it('keeps the promise for the length of its last renewal if that is longer', () => {
      const witness = startWitness();
      witness.renew('vm-1', LONG_LEASE, 0);
      witness.promise('vm-1', { term: 1, leaseMs: SHORT_LEASE.leaseMs }, LONG_LEASE.leaseMs);
      expect(witness.renew('vm-1', LONG_LEASE, 2 * LONG_LEASE.leaseMs)).to.equal(false);
    });
  });
});
