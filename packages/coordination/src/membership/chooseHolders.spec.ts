import { expect } from 'chai';
import fc from 'fast-check';
import chooseHolders from './chooseHolders';
import hashText from './hashText';
import mayBeChosen from './mayBeChosen';

const DATA_CENTRES = ['a', 'b', 'c', 'd'];

const fleetOf = (counts: readonly number[]) =>
  new Map(
    counts.map((count, index) => {
      const name = DATA_CENTRES[index] as string;
      const ids = Array.from({ length: count }, (_, at) => `${name}-${at}`);
      return [name, ids.map((id) => ({ id, hash: hashText(id) }))];
    }),
  );

const countsArbitrary = fc.array(fc.nat({ max: 6 }), { minLength: 4, maxLength: 4 });

describe('chooseHolders', () => {
  it('takes one VM in each data centre of the members before a second one', () => {
    fc.assert(
      fc.property(
        countsArbitrary,
        fc.string(),
        fc.integer({ min: 1, max: 5 }),
        (counts, group, slots) => {
          const chosen = chooseHolders(fleetOf(counts), group, ['a', 'b', 'a'], slots);
          const total = counts.reduce((sum, count) => sum + count, 0);
          const near = counts.slice(0, 2).filter((count) => count > 0).length;
          const covered = new Set(
            chosen.map((id) => id[0]).filter((name) => name === 'a' || name === 'b'),
          );
          expect(new Set(chosen).size).to.equal(Math.min(slots, total));
          expect(covered.size).to.equal(Math.min(near, slots));
        },
      ),
    );
  });

  it('moves only the places of a VM that leaves', () => {
    const before = fleetOf([6, 6, 6, 6]);
    const after = new Map(before).set('a', (before.get('a') ?? []).slice(1));
    Array.from({ length: 300 }, (_, index) => `group-${index}`).forEach((group) => {
      const held = chooseHolders(before, group, ['a', 'b', 'c'], 3);
      const holds = chooseHolders(after, group, ['a', 'b', 'c'], 3);
      expect(holds).to.include.members(held.filter((id) => id !== 'a-0'));
    });
  });

  it('changes by a VM that joins only where that one may be chosen', () => {
    fc.assert(
      fc.property(
        countsArbitrary,
        fc.string(),
        fc.integer({ min: 1, max: 5 }),
        fc.constantFrom(...DATA_CENTRES),
        (counts, group, slots, dataCentre) => {
          const near = ['a', 'b', 'a'];
          const before = fleetOf(counts);
          const joining = { id: `${dataCentre}-new`, hash: hashText(`${dataCentre}-new`) };
          const after = new Map(before);
          after.set(dataCentre, [...(before.get(dataCentre) ?? []), joining]);
          const held = chooseHolders(before, group, near, slots);
          const holds = chooseHolders(after, group, near, slots);
          const chosen = held.map((id) => ({ dataCentre: id[0] ?? '', hash: hashText(id) }));
          const choice = { groupHash: hashText(group), near, slots, chosen };
          if (mayBeChosen({ dataCentre, hash: joining.hash }, choice)) return;
          expect(holds).to.deep.equal(held);
        },
      ),
      { numRuns: 2_000 },
    );
  });

  it('spreads groups evenly', () => {
    const held = new Map<string, number>();
    const fleet = fleetOf([6, 6, 6, 6]);
    Array.from({ length: 6_000 }, (_, index) => `group-${index}`).forEach((group) =>
      chooseHolders(fleet, group, ['a', 'b', 'c'], 3).forEach((id) =>
        held.set(id, (held.get(id) ?? 0) + 1),
      ),
    );
    const counts = [...held.values()];
    expect(counts).to.have.length(18);
    expect(Math.max(...counts)).to.be.below(1.2 * 1_000);
    expect(Math.min(...counts)).to.be.above(0.8 * 1_000);
  });
});
