import { expect } from 'chai';
import fc from 'fast-check';
import parseRegistration from './parseRegistration';
import readGroupRecord from './readGroupRecord';

const log = { info: () => undefined, warn: () => undefined };
const RECORD = {
  owner: 'waco-1',
  incarnation: 'i-1',
  primary: 'p',
  term: 3,
  fence: 2,
  ownerEpoch: 4,
  isHandedOver: false,
};
const texts = fc.oneof(fc.string(), fc.json());

describe('records in the store that another writer made', () => {
  it('never make a group record or a registration throw', () => {
    fc.assert(
      fc.property(texts, (value) => {
        readGroupRecord(value);
        parseRegistration({ key: 'auburngrade/vms/waco-1', value }, log);
      }),
    );
  });

  it('are no group record when a field has another type', () => {
    const fields = fc.constantFrom(
      'owner',
      'incarnation',
      'primary',
      'term',
      'fence',
      'ownerEpoch',
    );
    const values = fc.constantFrom<unknown>(null, true, -1, 1.5, [], {}, ['p']);
    fc.assert(
      fc.property(fields, values, (field, value) => {
        expect(readGroupRecord(JSON.stringify({ ...RECORD, [field]: value }))).to.equal(undefined);
      }),
    );
    expect(readGroupRecord(JSON.stringify(RECORD))).to.deep.equal(RECORD);
  });

  it('may lack what older versions did not write', () => {
    const { owner, incarnation } = RECORD;
    expect(readGroupRecord(JSON.stringify({ owner, incarnation }))).to.deep.equal({
      owner,
      incarnation,
      primary: '',
      term: 0,
      fence: 0,
      ownerEpoch: 0,
      isHandedOver: false,
    });
  });
});
