import { expect } from 'chai';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { Heartbeat } from '../generated/auburngrade/session/v1/session';
import createFakeVoters from '../standIns/createFakeVoters';
import createDocuments from './createDocuments';
import createFleet from './createFleet';
import readDocumentOrigin from './readDocumentOrigin';
import storeKeys from './storeKeys';

const SEEDS = [1, 2, 3, 4, 5, 6];
const VOTERS = ['a', 'b', 'c', 'd', 'e'];
const NEWCOMERS = Array.from({ length: 12 }, (_none, index) => `n${index}`);
/** After this time without the store a registration has lapsed. */
const LAPSE_MS = 4_500;

const createRandom = (seed: number): (() => number) => {
  const generator = xoroshiro128plus(seed);
  // eslint-disable-next-line no-bitwise -- the generator yields 32-bit integers
  return () => (generator.next() >>> 0) / 0x1_0000_0000;
};

// Guards against two owners of a group, each confirmed by a majority of the voters that it happened to know.
describe('majorities over the recorded set of voters', () => {
  let fixture: ReturnType<typeof createFakeVoters>;
  let owner: string;
  /** The voters but the owner. */
  let others: string[];
  /** Revision of the newest record under which the primary could be replaced. */
  let newestReplacing: number;

  const begin = async (seed: number, voters = VOTERS): Promise<void> => {
    fixture = createFakeVoters(createRandom(seed));
    newestReplacing = 0;
    [...voters, ...NEWCOMERS].forEach(fixture.start);
    voters.forEach(fixture.startVoting);
    await fixture.run(6_000);
    owner = fixture.ownerOf();
    others = voters.filter((vm) => vm !== owner);
  };
  const itWithSeeds = (title: string, test: () => Promise<void>): void =>
    SEEDS.forEach((seed) =>
      it(`${title} (seed ${seed})`, async () => {
        await begin(seed);
        await test();
      }),
    );

  /** Checks that no VM is certain of an older record than one under which an owner could replace the primary. */
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
  /** Cuts a side off from all other VMs and from the store. */
  const splitOff = (side: readonly string[]): void => {
    fixture.cut((a, b) => side.includes(a) !== side.includes(b));
    side.forEach((vm) => fixture.turnedAway.add(vm));
  };
  const restart = async (vm: string): Promise<void> => {
    fixture.stop(vm);
    await fixture.run(500, expectNoOverlap);
    fixture.startVoting(vm);
  };
  /** Returns which VMs are certain of their record at some time. */
  const findCertain = async (ms: number): Promise<string[]> => {
    const found = new Set<string>();
    await fixture.run(ms, () => {
      expectNoOverlap();
      fixture.certain().forEach(({ vm }) => found.add(vm));
    });
    return [...found];
  };
  /** Returns which VMs may replace the primary at some time. */
  const findReplacing = async (ms: number): Promise<string[]> => {
    const found = new Set<string>();
    await fixture.run(ms, () => fixture.replacing().forEach((vm) => found.add(vm)));
    return [...found];
  };

  describe('when a majority is cut off with the owner', () => {
    const cutMajority = async (): Promise<string[]> => {
      splitOff([owner, ...others.slice(0, 2)]);
      await fixture.run(LAPSE_MS, expectNoOverlap);
      return others.slice(2);
    };

    itWithSeeds('gives the rest none after one of them has restarted', async () => {
      const [first = ''] = await cutMajority();
      await restart(first);
      await fixture.run(12_000, expectNoOverlap);
    });

    itWithSeeds('gives the rest none after both have restarted', async () => {
      const [first = '', second = ''] = await cutMajority();
      await restart(first);
      await fixture.run(2_500, expectNoOverlap);
      await restart(second);
      await fixture.run(12_000, expectNoOverlap);
    });

    itWithSeeds('gives the rest none with a dozen VMs that join them', async () => {
      await cutMajority();
      for (const vm of NEWCOMERS) {
        fixture.startVoting(vm);
        await fixture.run(100, expectNoOverlap);
      }
      await fixture.run(12_000, expectNoOverlap);
    });

    itWithSeeds('lets the side with the owner go on serving', async () => {
      const rest = await cutMajority();
      await restart(rest[0] ?? '');
      for (let second = 0; second < 8; second += 1) {
        expect(await findCertain(1_000)).to.include(owner);
      }
    });
  });

  // docs/incidents/brazos-large-inc1.md: two VMs decided about one group's primary.
  describe('when nine of twelve voters are cut off, and new VMs take their seats', () => {
    const TWELVE = Array.from({ length: 12 }, (_none, index) => `v${index}`);
    SEEDS.forEach((seed) =>
      it(`gives the new ones no majority (seed ${seed})`, async () => {
        await begin(seed, TWELVE);
        splitOff([owner, ...others.slice(0, 8)]);
        await fixture.run(LAPSE_MS, expectNoOverlap);
        NEWCOMERS.slice(0, 9).forEach(fixture.startVoting);
        await fixture.run(8_000, expectNoOverlap);
      }).timeout(20_000),
    );
  });

  describe('on a voter that restarts without the store', () => {
    itWithSeeds('lets it confirm nobody while it hears only VMs that lack a record', async () => {
      await fixture.run(1_000, expectNoOverlap);
      const formerSide = [owner, others[0] ?? ''];
      splitOff(formerSide);
      await fixture.run(8_000, expectNoOverlap);
      const successor = fixture.ownerOf();
      expect(successor).not.to.equal(owner);
      const restarted = others.slice(1).find((vm) => vm !== successor) ?? '';
      const nextSide = [...formerSide, restarted];
      splitOff(nextSide);
      await restart(restarted);
      await fixture.run(8_000, expectNoOverlap);
    });

    itWithSeeds('lets it confirm others once a majority of them told all they know', async () => {
      const [restarted = ''] = others;
      fixture.turnedAway.add(restarted);
      await restart(restarted);
      await fixture.run(5_000, expectNoOverlap);
      expect(fixture.voters.get(restarted)?.fleet.confirmedBeat(owner)).to.be.above(0);
    });
  });

  describe('on a VM whose confirmations come from VMs that know a later set', () => {
    it('holds none until it knows that set', () => {
      const clock = { ms: 1_000 };
      const nowMs = (): number => clock.ms;
      const log = { info: () => undefined, warn: () => undefined };
      const documents = createDocuments({ nowMs, log, readOrigin: readDocumentOrigin });
      const heartbeats = new Map<string, (heartbeat: Heartbeat) => void>();
      const self = { vm: 'a', incarnation: 'a-1', address: 'a', dataCentre: 'x' };
      const fleet = createFleet({
        self: { ...self, isObserver: false, isSubscriber: false },
        documents,
        log,
        nowMs,
        wallMs: nowMs,
        isStoreReachable: () => true,
        isEvacuated: () => false,
        onRateUsage: () => undefined,
        onChange: () => undefined,
        createLink: ({ vm, onHeartbeat }) => {
          if (onHeartbeat) heartbeats.set(vm, onHeartbeat);
          return {
            isUp: () => true,
            open: () => undefined,
            call: () => Promise.reject(new Error('no calls here')),
            endTransaction: () => undefined,
            endSession: () => undefined,
            sendDocument: () => undefined,
            close: () => undefined,
          };
        },
      });
      const learn = (version: number, vms: string[]): boolean =>
        documents.putIfNewer({
          key: storeKeys.voterSet,
          value: JSON.stringify({ version, vms, era: 1 }),
          era: 1,
          revision: version,
        });
      const confirm = (vm: string, version: number): void =>
        heartbeats.get(vm)?.({
          vm,
          incarnation: `${vm}-1`,
          heard: { vms: ['a', 'b', 'c'] },
          confirmedBeat: fleet.lastHeartbeatNumber(),
          documents: [{ key: storeKeys.voterSet, version, era: 1, revision: version }],
          spending: [],
          isLeaving: false,
          beat: version,
          isSettled: true,
          acting: [],
          isStoreReachable: true,
          isStrained: false,
          serving: [],
        });
      const registration = (vm: string) => ({
        address: vm,
        dataCentre: 'x',
        incarnation: `${vm}-1`,
      });
      fleet.replaceRegistrations(new Map(['b', 'c'].map((vm) => [vm, registration(vm)])));
      learn(1, ['a', 'b', 'c']);
      fleet.nextHeartbeatNumber();
      confirm('b', 1);
      expect(fleet.holdsPeerLease()).to.equal(true);
      confirm('b', 2);
      expect(fleet.holdsPeerLease()).to.equal(false);
      learn(2, ['a', 'b', 'c', 'd']);
      expect(fleet.holdsPeerLease()).to.equal(false);
      confirm('c', 1);
      expect(fleet.holdsPeerLease()).to.equal(true);
      fleet.close();
    });
  });

  describe('on a lone VM that starts when no registration is left', () => {
    itWithSeeds('counts the voters that it never met', async () => {
      VOTERS.forEach((vm) => fixture.turnedAway.add(vm));
      fixture.cut((a, b) => a === 'n0' || b === 'n0');
      await fixture.run(LAPSE_MS, expectNoOverlap);
      fixture.startVoting('n0');
      await fixture.run(12_000, expectNoOverlap);
    });
  });

  describe('when the set has to change', () => {
    itWithSeeds('takes in VMs that join, and drops those that are gone', async () => {
      NEWCOMERS.slice(0, 3).forEach(fixture.startVoting);
      others.slice(0, 2).forEach(fixture.stop);
      await fixture.run(45_000, expectNoOverlap);
      const { vms = [] } = fixture.voters.get(owner)?.fleet.voterSet() ?? {};
      expect([...vms].sort()).to.deep.equal(
        [owner, ...others.slice(2), ...NEWCOMERS.slice(0, 3)].sort(),
      );
    });

    itWithSeeds('serves and replaces primaries again after all have restarted', async () => {
      VOTERS.forEach(fixture.stop);
      await fixture.run(500);
      VOTERS.forEach(fixture.startVoting);
      await fixture.run(3_000);
      expect(await findReplacing(5_000)).not.to.deep.equal([]);
    });
  });

  describe('when a majority is gone for good', () => {
    it('lets the rest replace no primary for ten minutes, and then again', async () => {
      await begin(1);
      others.slice(0, 3).forEach(fixture.stop);
      await fixture.run(5_000, expectNoOverlap);
      expect(await findReplacing(590_000)).to.deep.equal([]);
      await fixture.run(15_000, expectNoOverlap);
      expect(await findReplacing(5_000)).not.to.deep.equal([]);
    }).timeout(60_000);
  });
});
