import { expect } from 'chai';
import fc from 'fast-check';
import createConfigurationState from './createConfigurationState';
import packJson from './packJson';
import phraseCodes from './phraseCodes';
import unpackJson from './unpackJson';

const PHRASES = [...phraseCodes.keys()];

/** Strings with phrases where documents have none, and with codes, which JSON escapes. */
const textArbitrary = fc.oneof(
  fc.string({ unit: 'grapheme' }),
  fc.constantFrom(...PHRASES, ...phraseCodes.values()),
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
  it('is reversed exactly by unpackJson for any JSON text', () => {
    fc.assert(
      fc.property(jsonArbitrary, (json) => {
        expect(unpackJson(packJson(json))).to.equal(json);
      }),
    );
  });

  it('uses a distinct character for each phrase that never occurs in JSON text', () => {
    const codes = [...phraseCodes.values()];
    expect(new Set(codes).size).to.equal(PHRASES.length);
    codes.forEach((code) => {
      expect(() => JSON.parse(code)).to.throw(SyntaxError);
      expect(() => JSON.parse(`"${code}"`)).to.throw(SyntaxError);
    });
  });

  it('reduces the text of a group by more than half', () => {
    expect(packJson(GROUP).length).to.be.below(GROUP.length / 2);
  });

  it('leaves the entries of a configuration state unchanged, including invalid ones', () => {
    const state = createConfigurationState();
    const values = [GROUP, 'not JSON \u0001', '{"members":[]}', '"\u0002"'];
    const entries = values.map((valueJson, index) => ({
      key: `/auburngrade/group/group-${index}`,
      valueJson,
      modRevision: index + 1,
    }));
    state.applyChanges(values.length, entries);
    expect(state.entries()).to.deep.equal(entries);
    expect(state.listNames('group')).to.deep.equal(['group-0']);
    expect(state.get('group', 'group-0')?.members).to.have.length(MEMBERS.length);
  });
});
