import { expect } from 'chai';
import fc from 'fast-check';
import createConfigurationState from './createConfigurationState';
import packJson from './packJson';
import packedPhrases from './packedPhrases';
import unpackJson from './unpackJson';

const PHRASES = [...packedPhrases.keys()];

/** Values whose texts have the phrases also where documents do not, and the codes escaped. */
const textArbitrary = fc.oneof(
  fc.string({ unit: 'grapheme' }),
  fc.constantFrom(...PHRASES, ...packedPhrases.values()),
  fc.array(fc.constantFrom(...PHRASES, '\\', '"', 'name')).map((parts) => parts.join('')),
);
const jsonArbitrary = fc
  .array(fc.dictionary(textArbitrary, fc.oneof(textArbitrary, fc.integer(), fc.boolean())))
  .chain((value) => fc.constantFrom(JSON.stringify(value), JSON.stringify(value, null, '\r\n\t ')));

const MEMBERS = [1, 2, 3].map((number) => ({
  name: `auctions-m${number}`,
  dataCentre: 'waco',
  host: '10.20.1.1',
  port: 5_432,
  replicationPort: 5_433,
}));
const GROUP = JSON.stringify({ connectionBudget: 20, members: MEMBERS });

describe('packJson', () => {
  it('gives every JSON text back as it was', () => {
    fc.assert(
      fc.property(jsonArbitrary, (json) => {
        expect(unpackJson(packJson(json))).to.equal(json);
      }),
    );
  });

  it('has a character of its own for each phrase, which JSON text never has', () => {
    const codes = [...packedPhrases.values()];
    expect(new Set(codes).size).to.equal(PHRASES.length);
    codes.forEach((code) => {
      expect(() => JSON.parse(code)).to.throw(SyntaxError);
      expect(() => JSON.parse(`"${code}"`)).to.throw(SyntaxError);
    });
  });

  it('halves the text of a group', () => {
    expect(packJson(GROUP).length).to.be.below(GROUP.length / 2);
  });

  it('keeps the texts that a configuration hands on, also those that are not valid', () => {
    const state = createConfigurationState();
    const values = [GROUP, 'not JSON \u0001', '{"members":[]}', '"\u0002"'];
    const entries = values.map((valueJson, index) => ({
      key: `/auburngrade/group/group-${index}`,
      valueJson,
      modRevision: index + 1,
    }));
    state.applyChanges(values.length, entries);
    expect(state.entries()).to.deep.equal(entries);
    expect(state.names('group')).to.deep.equal(['group-0']);
    expect(state.get('group', 'group-0')?.members).to.have.length(MEMBERS.length);
  });
});
