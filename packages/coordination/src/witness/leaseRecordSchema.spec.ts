import { expect } from 'chai';
import { z } from 'zod';
import leaseRecordSchema from './leaseRecordSchema';
import toLeaseTerm from './toLeaseTerm';
import effectiveLeaseMs from './effectiveLeaseMs';
import UNSTATED_LEASE_MS from './unstatedLeaseMs';

/** The record schema of earlier versions, which have a fixed lease length. */
const previousSchema = z.strictObject({
  term: z.number().int(),
  groups: z.array(z.array(z.string())),
});
const PREVIOUS_RECORD = { term: 7, groups: [['vm-1']] };

describe('leaseRecordSchema', () => {
  describe('with a record of an earlier version', () => {
    it('uses the longer of the default length and the local setting', () => {
      const record = leaseRecordSchema.parse(PREVIOUS_RECORD);
      expect(effectiveLeaseMs(record, 500)).to.equal(UNSTATED_LEASE_MS);
      expect(effectiveLeaseMs(record, 9_000)).to.equal(9_000);
    });
  });

  describe('with a record of this version', () => {
    it('writes records of the default length so that earlier versions can read them', () => {
      const record = { ...PREVIOUS_RECORD, ...toLeaseTerm(7, UNSTATED_LEASE_MS) };
      expect(previousSchema.parse(record)).to.deep.equal(PREVIOUS_RECORD);
    });

    it('uses the stated length if it is not the default one', () => {
      const record = { ...PREVIOUS_RECORD, ...toLeaseTerm(7, 9_000) };
      expect(effectiveLeaseMs(leaseRecordSchema.parse(record), 500)).to.equal(9_000);
    });
  });
});
