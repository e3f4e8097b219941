import { expect } from 'chai';
import fc from 'fast-check';
import doMajoritiesMeet from './doMajoritiesMeet';
import isMajority from './isMajority';
import planVoterChange from './planVoterChange';

const NAMES = ['a', 'b', 'c', 'd', 'e', 'f', 'g', 'h'];
const anyVms = fc.subarray(NAMES);
const someVms = fc.subarray(NAMES, { minLength: 1 });
const subsetsOf = (vms: readonly string[]): string[][] =>
  vms.reduce<string[][]>((sets, vm) => [...sets, ...sets.map((set) => [...set, vm])], [[]]);
const majoritiesOf = (vms: readonly string[]): string[][] =>
  subsetsOf(vms).filter((set) => isMajority(vms, set));

describe('sets of voters', () => {
  describe('isMajority', () => {
    it('needs more than half of the voters, and counts no other VM', () => {
      expect(isMajority(['a', 'b', 'c'], ['a', 'b'])).to.equal(true);
      expect(isMajority(['a', 'b', 'c', 'd'], ['a', 'b'])).to.equal(false);
      expect(isMajority(['a', 'b', 'c'], ['a', 'x', 'y'])).to.equal(false);
      expect(isMajority([], [])).to.equal(false);
    });
  });

  describe('doMajoritiesMeet', () => {
    // Guards against two owners of a group, each confirmed by a majority of another set of voters.
    it('is true only for sets of which all majorities have a VM in common', () => {
      fc.assert(
        fc.property(someVms, someVms, (some, others) => {
          const meet = majoritiesOf(some).every((majority) =>
            majoritiesOf(others).every((other) => other.some((vm) => majority.includes(vm))),
          );
          return !doMajoritiesMeet(some, others) || meet;
        }),
        { numRuns: 300 },
      );
    });

    it('allows each change by one voter', () => {
      NAMES.forEach((vm, index) => {
        const before = NAMES.slice(0, index);
        if (index > 0) expect(doMajoritiesMeet(before, [...before, vm])).to.equal(true);
      });
    });
  });

  describe('planVoterChange', () => {
    it('takes steps whose majorities meet, and reaches the wanted set', () => {
      fc.assert(
        fc.property(someVms, anyVms, someVms, (start, leaving, joining) => {
          const change = { joining: joining.filter((vm) => !leaving.includes(vm)), leaving };
          let current = start;
          let next = planVoterChange(current, change);
          for (let steps = 0; next !== undefined; steps += 1) {
            expect(steps).to.be.below(2 * NAMES.length);
            expect(doMajoritiesMeet(current, next)).to.equal(true);
            current = next;
            next = planVoterChange(current, change);
          }
          const wanted = new Set([
            ...start.filter((vm) => !leaving.includes(vm)),
            ...change.joining,
          ]);
          if (wanted.size > 0) expect([...current].sort()).to.deep.equal([...wanted].sort());
          else expect(current).to.have.length(1);
        }),
        { numRuns: 300 },
      );
    });
  });
});
