import { expect } from 'chai';
import { z } from 'zod';
import leaseRecordSchema from './leaseRecordSchema';
import leaseTermOf from './leaseTermOf';
import reckonedLeaseMs from './reckonedLeaseMs';
import UNSTATED_LEASE_MS from './unstatedLeaseMs';

/** The record as versions read it that know one length only. */
const earlierSchema = z.strictObject({
  term: z.number().int(),
  groups: z.array(z.array(z.string())),
});
const EARLIER = { term: 7, groups: [['vm-1']] };

describe('record of a lease', () => {
  describe('of an earlier version', () => {
    it('counts with the longer of the default and the own length', () => {
      const record = leaseRecordSchema.parse(EARLIER);
      expect(reckonedLeaseMs(record, 500)).to.equal(UNSTATED_LEASE_MS);
      expect(reckonedLeaseMs(record, 9_000)).to.equal(9_000);
    });
  });

  describe('of this version', () => {
    it('is read by earlier versions at the default length', () => {
      const record = { ...EARLIER, ...leaseTermOf(7, UNSTATED_LEASE_MS) };
      expect(earlierSchema.parse(record)).to.deep.equal(EARLIER);
    });

    it('counts with its own length at any other', () => {
      const record = { ...EARLIER, ...leaseTermOf(7, 9_000) };
      expect(reckonedLeaseMs(leaseRecordSchema.parse(record), 500)).to.equal(9_000);
    });
  });
});
