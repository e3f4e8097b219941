import { expect } from 'chai';
import fc from 'fast-check';
import type ConfigurationEntry from './configurationEntry';
import createConfigurationState from './createConfigurationState';

const NAMES = ['a', 'b', 'c'];
const keyOf = (name: string): string => `/auburngrade/account/${name}`;
const valueAt = (revision: number): string =>
  JSON.stringify({ limit: { ratePerS: revision, burst: 1 }, weight: 1 });

interface Change {
  name: string;
  isDeleted: boolean;
}

/** The platform's true history: one change a revision, from revision 1 on. */
const historyOf = (changes: Change[]): ConfigurationEntry[] =>
  changes.map(({ name, isDeleted }, index) => ({
    key: keyOf(name),
    valueJson: isDeleted ? undefined : valueAt(index + 1),
    modRevision: index + 1,
  }));

const latestOf = (history: ConfigurationEntry[], revision: number): ConfigurationEntry[] =>
  NAMES.flatMap((name) =>
    history.filter((entry) => entry.key === keyOf(name) && entry.modRevision <= revision).slice(-1),
  );

const snapshotAt = (history: ConfigurationEntry[], revision: number): ConfigurationEntry[] =>
  latestOf(history, revision).filter(({ valueJson }) => valueJson !== undefined);

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
  describe('under old, repeated and reordered answers', () => {
    it('never goes back for any key, and ends at the truth', () => {
      fc.assert(
        fc.property(
          fc.array(changeArbitrary, { minLength: 1, maxLength: 30 }),
          fc.array(deliveryArbitrary, { maxLength: 40 }),
          fc.nat({ max: 3 }),
          (changes, deliveries, maxTombstones) => {
            const history = historyOf(changes);
            const state = createConfigurationState(maxTombstones);
            const peer = createConfigurationState(maxTombstones);
            const seen = new Map<string, number>();
            let lastRevision = 0;

            const check = (): void => {
              expect(state.revision()).to.be.at.least(lastRevision);
              lastRevision = state.revision();
              NAMES.forEach((name) => {
                const rate = state.get('account', name)?.limit.ratePerS;
                const applied = latestOf(history, state.revision()).find(
                  ({ key }) => key === keyOf(name),
                );
                const atLeast = Math.max(seen.get(name) ?? 0, applied?.modRevision ?? 0);
                if (rate !== undefined) {
                  expect(rate, `${name} went back`).to.be.at.least(atLeast);
                  seen.set(name, rate);
                } else seen.set(name, atLeast);
              });
            };

            deliveries.forEach(({ kind, position, pick }) => {
              const revision = (position % history.length) + 1;
              if (kind === 'snapshot') state.applySnapshot(revision, snapshotAt(history, revision));
              if (kind === 'peer') {
                peer.applySnapshot(revision, snapshotAt(history, revision));
                const difference = peer.since(state.revision());
                if (difference.isSnapshot) state.applySnapshot(peer.revision(), difference.entries);
                else state.applyChanges(peer.revision(), difference.entries);
              }
              if (kind === 'difference') {
                const missed = history.slice(state.revision(), revision);
                state.applyChanges(revision, missed);
              }
              if (kind === 'watch') {
                const next = history[state.revision()];
                if (next) state.applyChanges(next.modRevision, [next]);
              }
              if (kind === 'duplicate') {
                const old = history[pick % Math.max(1, state.revision())];
                if (old && old.modRevision <= state.revision()) {
                  state.applyChanges(old.modRevision, [old]);
                }
              }
              check();
            });
            state.applySnapshot(history.length, snapshotAt(history, history.length));
            const truth = new Map(
              snapshotAt(history, history.length).map(({ key, modRevision }) => [key, modRevision]),
            );
            NAMES.forEach((name) =>
              expect(state.get('account', name)?.limit.ratePerS).to.equal(truth.get(keyOf(name))),
            );
          },
        ),
        { numRuns: 2_000 },
      );
    });
  });

  describe('a document that is read again', () => {
    it('is the same object until it changes, and one of its own for each name', () => {
      const state = createConfigurationState();
      const entryAt = (name: string, revision: number): ConfigurationEntry => ({
        key: keyOf(name),
        valueJson: valueAt(revision),
        modRevision: revision,
      });
      state.applyChanges(2, [entryAt('a', 1), entryAt('b', 2)]);
      const first = state.get('account', 'a');
      expect(state.get('account', 'a')).to.equal(first);
      expect(state.list('account').get('a')).to.equal(first);
      expect(state.get('account', 'b')).to.not.equal(first);
      state.applyChanges(3, [entryAt('b', 3)]);
      expect(state.get('account', 'a')).to.equal(first);
      state.applyChanges(4, [entryAt('a', 4)]);
      expect(state.get('account', 'a')?.limit.ratePerS).to.equal(4);
      expect(first?.limit.ratePerS).to.equal(1);
    });
  });

  describe('a stored value with change ids', () => {
    it('gives the document alone', () => {
      const state = createConfigurationState();
      const document = JSON.parse(valueAt(5)) as unknown;
      const valueJson = JSON.stringify({ document, changeIds: ['x'] });
      state.applyChanges(1, [{ key: keyOf('a'), valueJson, modRevision: 1 }]);
      expect(state.get('account', 'a')).to.deep.equal(document);
    });
  });
});
