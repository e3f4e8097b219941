import { expect } from 'chai';
import createDocuments from './createDocuments';

const KEY = 'configuration';

const createFixture = () => {
  const ignored: unknown[] = [];
  const documents = createDocuments({
    nowMs: () => 0,
    log: { info: (_event, fields) => ignored.push(fields), warn: () => undefined },
    readOrigin: (key, value) => (key === KEY ? { version: Number(value) } : {}),
  });
  return { documents, ignored };
};

describe('createDocuments', () => {
  describe('after the store came back from a copy', () => {
    it('takes a newer version, though its revision was given out before', () => {
      const { documents } = createFixture();
      documents.putIfNewer({ key: KEY, value: '13', era: 1, revision: 24 });
      expect(documents.putIfNewer({ key: KEY, value: '16', era: 2, revision: 24 })).to.equal(true);
      expect(documents.get(KEY)?.value).to.equal('16');
    });

    it('keeps the newer version when the copy has an older one, and logs both positions', () => {
      const { documents, ignored } = createFixture();
      documents.putIfNewer({ key: KEY, value: '13', era: 1, revision: 24 });
      expect(documents.putIfNewer({ key: KEY, value: '10', era: 2, revision: 22 })).to.equal(false);
      expect(documents.get(KEY)?.value).to.equal('13');
      expect(ignored[0]).to.deep.include({ version: 10, era: 2, knownVersion: 13, knownEra: 1 });
    });
  });

  it('takes a newer revision from a VM of an earlier build, which states no era', () => {
    const { documents } = createFixture();
    documents.putIfNewer({ key: 'group', value: 'a', era: 1, revision: 24 });
    expect(documents.putIfNewer({ key: 'group', value: 'b', era: 0, revision: 25 })).to.equal(true);
    expect(documents.get('group')).to.deep.include({ value: 'b', era: 1 });
  });
});
