import { expect } from 'chai';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import createFakeVoters from '../standIns/createFakeVoters';

const createRandom = (seed: number): (() => number) => {
  const generator = xoroshiro128plus(seed);
  // eslint-disable-next-line no-bitwise -- the generator yields 32-bit integers
  return () => (generator.next() >>> 0) / 0x1_0000_0000;
};

const SEEDS = [1, 2, 3, 4, 5, 6];
const VOTERS = ['a', 'b', 'c', 'd', 'e'];

describe('createFleet', () => {
  let fixture: ReturnType<typeof createFakeVoters>;
  let owner: string;
  /** The voters but the owner. */
  let others: string[];
  /** Revision of the newest record under which the primary could be replaced. */
  let newestReplacing: number;

  const begin = async (seed: number): Promise<void> => {
    fixture = createFakeVoters(createRandom(seed));
    newestReplacing = 0;
    [...VOTERS, 'p', 'q', 'r'].forEach(fixture.start);
    VOTERS.forEach(fixture.startVoting);
    await fixture.run(5_000);
    owner = fixture.ownerOf();
    others = VOTERS.filter((vm) => vm !== owner);
  };
  /** Runs a test for each seed, which decides how long each message takes. */
  const itWithSeeds = (title: string, test: () => Promise<void>): void => {
    SEEDS.forEach((seed) =>
      it(`${title} (seed ${seed})`, async () => {
        await begin(seed);
        await test();
      }),
    );
  };

  /**
   * Checks that no VM is certain of an older record than one under which an owner could replace the primary, now or
   * before.
   */
  const expectNoOverlap = (): void => {
    const replacing = fixture.replacing();
    const certain = fixture.certain();
    newestReplacing = Math.max(
      newestReplacing,
      ...certain.filter(({ vm }) => replacing.includes(vm)).map(({ revision }) => revision),
    );
    const outdated = certain.filter(({ revision }) => revision < newestReplacing);
    expect(outdated, `at ${fixture.nowMs()}`).to.deep.equal([]);
  };
  /** Splits the VMs; none of the first side reaches the store. */
  const splitOff = (side: readonly string[]): void => {
    fixture.cut((a, b) => side.includes(a) !== side.includes(b));
    side.forEach((vm) => fixture.turnedAway.add(vm));
  };

  describe('on a VM that becomes a voter long after its start', () => {
    itWithSeeds(
      'calls no VM silent before it could hear it, and confirms those that it hears',
      async () => {
        fixture.startVoting('p');
        const { fleet } = fixture.voters.get('p') ?? fixture.start('p');
        await fixture.run(250, () => expect(fleet.isSettled()).to.equal(false));
        await fixture.run(1_000);
        expect(fleet.confirmedBeat(owner)).to.be.above(0);
      },
    );
  });

  describe('on a voter that restarted and forgot the newest record', () => {
    itWithSeeds(
      'confirms no former owner before it knows the record of the successor',
      async () => {
        await fixture.run(1_000, expectNoOverlap);
        const firstRecord = newestReplacing;
        const formerSide = [owner, others[0] ?? ''];
        splitOff(formerSide);
        await fixture.run(8_000, expectNoOverlap);
        const successor = fixture.ownerOf();
        expect(newestReplacing).to.be.above(firstRecord);
        const restarted = others.slice(1).find((vm) => vm !== successor) ?? '';
        fixture.stop(restarted);
        fixture.turnedAway.add(restarted);
        fixture.cut(
          (a, b) =>
            a !== restarted && b !== restarted && formerSide.includes(a) !== formerSide.includes(b),
        );
        await fixture.run(500, expectNoOverlap);
        fixture.startVoting(restarted);
        await fixture.run(5_000, expectNoOverlap);
      },
    );
  });

  describe('on a voter that has not listed the registrations', () => {
    itWithSeeds('is certain of nothing, whoever confirms it', async () => {
      fixture.stop('b');
      fixture.turnedAway.add('b');
      fixture.startVoting('b');
      const { fleet } = fixture.voters.get('b') ?? fixture.start('b');
      await fixture.run(2_000, () => {
        expect(fleet.holdsPeerLease()).to.equal(false);
        expect(fleet.isKnownByMajority('x', { version: 0, era: 1, revision: 1 })).to.equal(false);
      });
    });
  });

  describe('when voters lose their seats, as the store turns them away', () => {
    itWithSeeds(
      'counts them with the voters that took the seats while any VM hears both',
      async () => {
        const turnedAway = [owner, ...others.slice(0, 2)];
        turnedAway.forEach((vm) => fixture.turnedAway.add(vm));
        await fixture.run(4_500, expectNoOverlap);
        ['p', 'q', 'r'].forEach(fixture.startVoting);
        await fixture.run(4_000, expectNoOverlap);
        expect(fixture.ownerOf()).to.equal(owner);
        splitOff(turnedAway);
        await fixture.run(8_000, expectNoOverlap);
      },
    );
  });

  describe('in a split that lasts for minutes', () => {
    itWithSeeds('does not forget a majority that it cannot hear', async () => {
      splitOff([owner, ...others.slice(0, 2)]);
      await fixture.run(60_000, expectNoOverlap);
      const served = new Set<string>();
      await fixture.run(2_000, () => {
        expectNoOverlap();
        fixture.certain().forEach(({ vm }) => served.add(vm));
      });
      expect([...served]).to.deep.equal([owner]);
    });
  });
});
