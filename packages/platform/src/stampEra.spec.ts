import { expect } from 'chai';
import fc from 'fast-check';
import readStamp from './readStamp';
import stampEra from './stampEra';

const objects = fc.dictionary(fc.string(), fc.jsonValue());

describe('stampEra and readStamp', () => {
  it('give back the era and the value', () => {
    fc.assert(
      fc.property(objects, fc.integer({ min: 1, max: 1_000 }), (object, era) => {
        const valueJson = JSON.stringify(object);
        const stamped = stampEra(valueJson, era);
        expect(JSON.parse(stamped)).to.deep.include({ storeEra: era });
        expect(readStamp(stamped)).to.deep.equal({ era, valueJson });
      }),
    );
  });

  it('leave values of other writers as they are', () => {
    ['{}', '[1]', 'no JSON', '{"a":1}', ''].forEach((valueJson) =>
      expect(readStamp(valueJson)).to.deep.equal({ era: undefined, valueJson }),
    );
    expect(stampEra('[1]', 2)).to.equal('[1]');
    expect(stampEra('{"a":1}', 0)).to.equal('{"a":1}');
  });
});
