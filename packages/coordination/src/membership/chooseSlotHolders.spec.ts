import { expect } from 'chai';
import fc from 'fast-check';
import chooseSlotHolders from './chooseSlotHolders';
import hashText from './hashText';
import canBecomeSlotHolder from './canBecomeSlotHolder';

const DATA_CENTRES = ['a', 'b', 'c', 'd'];

const createVms = (counts: readonly number[]) =>
  new Map(
    counts.map((count, index) => {
      const name = DATA_CENTRES[index] as string;
      const ids = Array.from({ length: count }, (_, vmIndex) => `${name}-${vmIndex}`);
      return [name, ids.map((id) => ({ id, hash: hashText(id) }))];
    }),
  );

const countsArbitrary = fc.array(fc.nat({ max: 6 }), { minLength: 4, maxLength: 4 });

describe('chooseHolders', () => {
  it('chooses one VM in each data centre of the members before any second one', () => {
    fc.assert(
      fc.property(
        countsArbitrary,
        fc.string(),
        fc.integer({ min: 1, max: 5 }),
        (counts, group, slots) => {
          const chosen = chooseSlotHolders(createVms(counts), group, ['a', 'b', 'a'], slots);
          const total = counts.reduce((sum, count) => sum + count, 0);
          const coveredCount = counts.slice(0, 2).filter((count) => count > 0).length;
          const coveredDataCentres = new Set(
            chosen.map((id) => id[0]).filter((name) => name === 'a' || name === 'b'),
          );
          expect(new Set(chosen).size).to.equal(Math.min(slots, total));
          expect(coveredDataCentres.size).to.equal(Math.min(coveredCount, slots));
        },
      ),
    );
  });

  it('replaces only the VM that leaves', () => {
    const before = createVms([6, 6, 6, 6]);
    const after = new Map(before).set('a', (before.get('a') ?? []).slice(1));
    Array.from({ length: 300 }, (_, index) => `group-${index}`).forEach((group) => {
      const holdersBefore = chooseSlotHolders(before, group, ['a', 'b', 'c'], 3);
      const holdersAfter = chooseSlotHolders(after, group, ['a', 'b', 'c'], 3);
      expect(holdersAfter).to.include.members(holdersBefore.filter((id) => id !== 'a-0'));
    });
  });

  it('does not change when a VM joins that cannot be chosen', () => {
    fc.assert(
      fc.property(
        countsArbitrary,
        fc.string(),
        fc.integer({ min: 1, max: 5 }),
        fc.constantFrom(...DATA_CENTRES),
        (counts, group, slots, dataCentre) => {
          const memberDataCentres = ['a', 'b', 'a'];
          const before = createVms(counts);
          const joining = { id: `${dataCentre}-new`, hash: hashText(`${dataCentre}-new`) };
          const after = new Map(before);
          after.set(dataCentre, [...(before.get(dataCentre) ?? []), joining]);
          const holdersBefore = chooseSlotHolders(before, group, memberDataCentres, slots);
          const holdersAfter = chooseSlotHolders(after, group, memberDataCentres, slots);
          const chosen = holdersBefore.map((id) => ({
            dataCentre: id[0] ?? '',
            hash: hashText(id),
          }));
          const choice = { groupHash: hashText(group), memberDataCentres, slots, chosen };
          if (canBecomeSlotHolder({ dataCentre, hash: joining.hash }, choice)) return;
          expect(holdersAfter).to.deep.equal(holdersBefore);
        },
      ),
      { numRuns: 2_000 },
    );
  });

  it('distributes groups evenly over VMs', () => {
    const groupsByVm = new Map<string, number>();
    const vms = createVms([6, 6, 6, 6]);
    Array.from({ length: 6_000 }, (_, index) => `group-${index}`).forEach((group) =>
      chooseSlotHolders(vms, group, ['a', 'b', 'c'], 3).forEach((id) =>
        groupsByVm.set(id, (groupsByVm.get(id) ?? 0) + 1),
      ),
    );
    const counts = [...groupsByVm.values()];
    expect(counts).to.have.length(18);
    expect(Math.max(...counts)).to.be.below(1.2 * 1_000);
    expect(Math.min(...counts)).to.be.above(0.8 * 1_000);
  });
});
