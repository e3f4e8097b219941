import { expect } from 'chai';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import createFakeVoters from '../standIns/createFakeVoters';

const createRandom = (seed: number): (() => number) => {
  const generator = xoroshiro128plus(seed);
  // eslint-disable-next-line no-bitwise -- the generator yields 32-bit integers
  return () => (generator.next() >>> 0) / 0x1_0000_0000;
};

const VOTERS = ['a', 'b', 'c', 'd', 'e'];

describe('createFleet', () => {
  let fixture: ReturnType<typeof createFakeVoters>;
  let owner: string;

  beforeEach(async () => {
    fixture = createFakeVoters(createRandom(1));
    [...VOTERS, 'p'].forEach(fixture.start);
    VOTERS.forEach(fixture.startVoting);
    await fixture.run(5_000);
    owner = fixture.ownerOf();
  });

  describe('on a VM that becomes a voter long after its start', () => {
    it('calls no VM silent before it could hear it, and confirms those that it hears', async () => {
      fixture.startVoting('p');
      const { fleet } = fixture.voters.get('p') ?? fixture.start('p');
      await fixture.run(250, () => expect(fleet.isSettled()).to.equal(false));
      await fixture.run(1_000);
      expect(fleet.confirmedBeat(owner)).to.be.above(0);
    });
  });
});
