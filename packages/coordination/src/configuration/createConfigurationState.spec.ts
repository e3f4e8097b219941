import { expect } from 'chai';
import fc from 'fast-check';
import type ConfigurationEntry from './configurationEntry';
import toHistoryPosition from '../history/toHistoryPosition';
import documentKinds from './documentKinds';
import createConfigurationState from './createConfigurationState';

const NAMES = ['a', 'b', 'c'];
const buildAccountKey = (name: string): string => `/auburngrade/account/${name}`;
const buildValueJson = (revision: number): string =>
  JSON.stringify({ limit: { ratePerS: revision, burst: 1 }, weight: 1 });

interface Change {
  name: string;
  isDeleted: boolean;
}

/** All changes in the platform's store, one per revision from revision 1 on. */
const createHistory = (changes: Change[]): ConfigurationEntry[] =>
  changes.map(({ name, isDeleted }, index) => ({
    key: buildAccountKey(name),
    valueJson: isDeleted ? undefined : buildValueJson(index + 1),
    modRevision: index + 1,
  }));

const listLatestEntries = (history: ConfigurationEntry[], revision: number): ConfigurationEntry[] =>
  NAMES.flatMap((name) =>
    history
      .filter((entry) => entry.key === buildAccountKey(name) && entry.modRevision <= revision)
      .slice(-1),
  );

const createSnapshot = (history: ConfigurationEntry[], revision: number): ConfigurationEntry[] =>
  listLatestEntries(history, revision).filter(({ valueJson }) => valueJson !== undefined);

const changeArbitrary = fc.record({
  name: fc.constantFrom(...NAMES),
  isDeleted: fc.boolean(),
});

const deliveryArbitrary = fc.record({
  kind: fc.constantFrom('snapshot', 'difference', 'watch', 'duplicate', 'peer'),
  position: fc.nat(),
  pick: fc.nat(),
});

describe('createConfigurationState', () => {
  describe('under outdated, duplicate and reordered changes and snapshots', () => {
    it('never returns an earlier revision of a key and converges to the stored documents', () => {
      fc.assert(
        fc.property(
          fc.array(changeArbitrary, { minLength: 1, maxLength: 30 }),
          fc.array(deliveryArbitrary, { maxLength: 40 }),
          fc.nat({ max: 3 }),
          (changes, deliveries, maxTombstones) => {
            const history = createHistory(changes);
            const state = createConfigurationState(maxTombstones);
            const peer = createConfigurationState(maxTombstones);
            const seenRevisions = new Map<string, number>();
            let lastRevision = 0;

            const expectNoRegression = (): void => {
              expect(state.revision()).to.be.at.least(lastRevision);
              lastRevision = state.revision();
              NAMES.forEach((name) => {
                const rate = state.get('account', name)?.limit.ratePerS;
                const applied = listLatestEntries(history, state.revision()).find(
                  ({ key }) => key === buildAccountKey(name),
                );
                const atLeast = Math.max(seenRevisions.get(name) ?? 0, applied?.modRevision ?? 0);
                if (rate !== undefined) {
                  expect(rate, `revision of ${name} decreased`).to.be.at.least(atLeast);
                  seenRevisions.set(name, rate);
                } else seenRevisions.set(name, atLeast);
              });
            };

            deliveries.forEach(({ kind, position, pick }) => {
              const revision = (position % history.length) + 1;
              if (kind === 'snapshot')
                state.applySnapshot(revision, createSnapshot(history, revision));
              if (kind === 'peer') {
                peer.applySnapshot(revision, createSnapshot(history, revision));
                const difference = peer.getDifferenceSince(state.revision());
                if (difference.isSnapshot) state.applySnapshot(peer.revision(), difference.entries);
                else state.applyChanges(peer.revision(), difference.entries);
              }
              if (kind === 'difference') {
                const missedEntries = history.slice(state.revision(), revision);
                state.applyChanges(revision, missedEntries);
              }
              if (kind === 'watch') {
                const nextEntry = history[state.revision()];
                if (nextEntry) state.applyChanges(nextEntry.modRevision, [nextEntry]);
              }
              if (kind === 'duplicate') {
                const oldEntry = history[pick % Math.max(1, state.revision())];
                if (oldEntry && oldEntry.modRevision <= state.revision()) {
                  state.applyChanges(oldEntry.modRevision, [oldEntry]);
                }
              }
              expectNoRegression();
            });
            state.applySnapshot(history.length, createSnapshot(history, history.length));
            const expectedRates = new Map(
              createSnapshot(history, history.length).map(({ key, modRevision }) => [
                key,
                modRevision,
              ]),
            );
            NAMES.forEach((name) =>
              expect(state.get('account', name)?.limit.ratePerS).to.equal(
                expectedRates.get(buildAccountKey(name)),
              ),
            );
          },
        ),
        { numRuns: 2_000 },
      );
    });
  });

  describe('a document that is read repeatedly', () => {
    it('is the same object until it changes, and a distinct object for each name', () => {
      const state = createConfigurationState();
      const createEntry = (name: string, revision: number): ConfigurationEntry => ({
        key: buildAccountKey(name),
        valueJson: buildValueJson(revision),
        modRevision: revision,
      });
      state.applyChanges(2, [createEntry('a', 1), createEntry('b', 2)]);
      const first = state.get('account', 'a');
      expect(state.get('account', 'a')).to.equal(first);
      expect(state.list('account').get('a')).to.equal(first);
      expect(state.get('account', 'b')).to.not.equal(first);
      state.applyChanges(3, [createEntry('b', 3)]);
      expect(state.get('account', 'a')).to.equal(first);
      state.applyChanges(4, [createEntry('a', 4)]);
      expect(state.get('account', 'a')?.limit.ratePerS).to.equal(4);
      expect(first?.limit.ratePerS).to.equal(1);
    });
  });

  describe('a stored value with change ids', () => {
    it('returns the document without the change ids', () => {
      const state = createConfigurationState();
      const document = JSON.parse(buildValueJson(5)) as unknown;
      const valueJson = JSON.stringify({ document, changeIds: ['x'] });
      state.applyChanges(1, [{ key: buildAccountKey('a'), valueJson, modRevision: 1 }]);
      expect(state.get('account', 'a')).to.deep.equal(document);
    });
  });

  describe('on a store that was restored from a copy', () => {
    it('deletes what a later list lacks, but not what the restore has lost', () => {
      const state = createConfigurationState();
      const account = (name: string, revision: number) => ({
        key: `${documentKinds.account.prefix}${name}`,
        valueJson: '{"limit":{"ratePerS":1,"burst":1}}',
        modRevision: toHistoryPosition(1, revision),
      });
      state.applySnapshot(toHistoryPosition(1, 9), [account('copied', 3), account('lost', 9)]);
      state.applySnapshot(toHistoryPosition(2, 5), [account('copied', 3)]);
      expect(state.listNames('account')).to.have.members(['copied', 'lost']);
      state.applySnapshot(toHistoryPosition(2, 8), []);
      expect(state.listNames('account')).to.deep.equal(['lost']);
    });

    it('keeps what the restore has lost when another VM told of the new era before the list', () => {
      const account = (name: string, revision: number) => ({
        key: buildAccountKey(name),
        valueJson: buildValueJson(1),
        modRevision: toHistoryPosition(1, revision),
      });
      const state = createConfigurationState();
      state.applySnapshot(toHistoryPosition(1, 9), [account('copied', 3), account('lost', 9)]);
      state.applyChanges(toHistoryPosition(2, 5), []);
      state.applySnapshot(toHistoryPosition(2, 6), [account('copied', 3)]);
      expect(state.listNames('account')).to.have.members(['copied', 'lost']);
      state.applySnapshot(toHistoryPosition(2, 8), []);
      expect(state.listNames('account')).to.deep.equal(['lost']);
    });

    it('takes over a change of the earlier era that the restore has lost, from a VM that knows it', () => {
      const key = buildAccountKey('gone');
      const put = { key, valueJson: buildValueJson(9), modRevision: toHistoryPosition(1, 9) };
      const deletion = { key, valueJson: undefined, modRevision: toHistoryPosition(1, 10) };
      const state = createConfigurationState();
      state.applySnapshot(toHistoryPosition(1, 8), []);
      state.applySnapshot(toHistoryPosition(2, 9), [put]);
      state.applyChanges(toHistoryPosition(2, 9), [deletion]);
      expect(state.get('account', 'gone')).to.equal(undefined);
      state.applyChanges(toHistoryPosition(2, 9), [put]);
      expect(state.get('account', 'gone')).to.equal(undefined);
    });

    it('brings back no document that an earlier list already lacked', () => {
      const key = buildAccountKey('gone');
      const put = { key, valueJson: buildValueJson(9), modRevision: toHistoryPosition(1, 9) };
      const later = { key, valueJson: buildValueJson(13), modRevision: toHistoryPosition(2, 13) };
      const state = createConfigurationState();
      state.applySnapshot(toHistoryPosition(1, 10), []);
      state.applySnapshot(toHistoryPosition(2, 9), [put]);
      expect(state.get('account', 'gone')).to.equal(undefined);
      state.applySnapshot(toHistoryPosition(2, 12), [put]);
      expect(state.get('account', 'gone')).to.equal(undefined);
      state.applySnapshot(toHistoryPosition(2, 13), [later]);
      expect(state.get('account', 'gone')?.limit.ratePerS).to.equal(13);
    });

    it('asks for what changed after the end of what it knows of the earlier era, until it was told', () => {
      const state = createConfigurationState();
      state.applySnapshot(toHistoryPosition(1, 8), []);
      expect(state.catchUpRevision()).to.equal(undefined);
      state.applySnapshot(toHistoryPosition(2, 9), []);
      expect(state.catchUpRevision()).to.equal(toHistoryPosition(1, 8));
      state.applySnapshot(toHistoryPosition(3, 9), []);
      expect(state.catchUpRevision()).to.equal(toHistoryPosition(1, 8));
      state.completeCatchUp();
      expect(state.catchUpRevision()).to.equal(undefined);
    });
  });
});
