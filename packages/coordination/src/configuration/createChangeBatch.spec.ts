import { expect } from 'chai';
import fc from 'fast-check';
import createChangeBatch from './createChangeBatch';
import createConfigurationState from './createConfigurationState';

const createAccountEntry = (name: string, revision: number, isDeleted = false) => ({
  key: `/auburngrade/account/${name}`,
  valueJson: isDeleted
    ? undefined
    : JSON.stringify({ limit: { ratePerS: revision, burst: 1 }, weight: 1 }),
  modRevision: revision,
});
const createTermEntry = (revision: number) => ({
  key: '/auburngrade/term/auctions',
  valueJson: '{}',
  modRevision: revision,
});

const stepArbitrary = fc.record({
  name: fc.constantFrom('a', 'b', 'c', 'd'),
  isDeleted: fc.boolean(),
  isTaken: fc.boolean(),
});

describe('createChangeBatch', () => {
  it('keeps the last change of each key and is empty once taken', () => {
    const batch = createChangeBatch();
    batch.add([createAccountEntry('a', 1), createAccountEntry('b', 2)]);
    batch.add([createAccountEntry('a', 3)]);
    expect(batch.take()).to.have.deep.members([
      createAccountEntry('a', 3),
      createAccountEntry('b', 2),
    ]);
    expect(batch.take()).to.deep.equal([]);
  });

  it('reports a term change as urgent and an account change as not urgent', () => {
    const batch = createChangeBatch();
    expect(batch.add([createAccountEntry('a', 1)])).to.equal(false);
    expect(batch.add([createTermEntry(2)])).to.equal(true);
    expect(batch.take()).to.have.length(2);
  });

  it('brings a follower to the state of its source at each take, for any key limit', () => {
    fc.assert(
      fc.property(fc.array(stepArbitrary), fc.nat({ max: 5 }), (steps, maxKeys) => {
        const [source, follower] = [createConfigurationState(), createConfigurationState()];
        const batch = createChangeBatch(maxKeys);
        source.applyChanges(1, []);
        follower.applyChanges(1, []);
        source.onChange((changed) => batch.add(changed));
        steps.forEach(({ name, isDeleted, isTaken }, index) => {
          const revision = index + 2;
          source.applyChanges(revision, [createAccountEntry(name, revision, isDeleted)]);
          if (!isTaken) return;
          const entries = batch.take() ?? source.getDifferenceSince(follower.revision()).entries;
          follower.applyChanges(source.revision(), entries);
          expect(follower.list('account')).to.deep.equal(source.list('account'));
          expect(follower.revision()).to.equal(source.revision());
        });
      }),
      { numRuns: 1_000 },
    );
  });
});
