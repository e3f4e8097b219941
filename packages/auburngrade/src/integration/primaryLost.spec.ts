import { setTimeout as sleep } from 'node:timers/promises';
import { startFleet, waitFor, type Fleet } from '@auburngrade/testkit';
import { expect } from 'chai';
import createWriteStream from './writeStream/createWriteStream';
import expectOneEffect from './writeStream/expectOneEffect';
import readTerm from './writeStream/readTerm';

const GROUP = 'auctions';
const VMS = ['waco-1', 'temple-1', 'bryan-1'];
const GAP_CEILING_MS = 13_000;
const SEEN_GONE_GAP_MS = 2_000;
/** Longer than the 300 ms that a VM may be late for its next look at the primary. */
const PAUSE_MS = 350;

describe('a lost primary', () => {
  let fleet: Fleet;
  let key: string;

  const primary = async (): Promise<string> => (await readTerm(fleet, GROUP))?.primary ?? '';

  const startWrites = async () => {
    const stream = createWriteStream({ fleet, key, group: GROUP, vms: VMS });
    await waitFor('writes', () => stream.ranCount() > 50);
    return stream;
  };

  /** Waits until writes run again after the pause that a fault caused. */
  const expectRecovery = async (stream: Awaited<ReturnType<typeof startWrites>>) => {
    await waitFor('writes again', () => stream.ranSinceLastGap() > 50, GAP_CEILING_MS);
    return expectOneEffect(fleet, GROUP, stream);
  };

  const setPrimaryLinks = (member: string, mode: 'pass' | 'silent'): void => {
    VMS.forEach((vm) => fleet.link(vm, member).setMode(mode));
    fleet.replicationLink(member).setMode(mode);
  };

  before(async () => {
    fleet = await startFleet({ hasFaultLinks: true, hasReplicationLinks: true });
    await fleet.put('account', 'ranch', { limit: { ratePerS: 100_000, burst: 100_000 } });
    await fleet.put('profile', 'bids', { accounts: ['ranch'], groups: [GROUP] });
    ({ key } = await fleet.issueKey('ranch'));
    await fleet.settle();
    await waitFor('the first term', async () => (await readTerm(fleet, GROUP))?.state === 'active');
  });

  afterEach(() => {
    fleet.members.forEach(({ name }) => setPrimaryLinks(name, 'pass'));
  });

  after(async () => {
    await fleet.stop();
  });

  describe('cut from every VM and member under a stream of writes', () => {
    it('is replaced, and follows the new primary when it comes back', async () => {
      const cut = await primary();
      const stream = await startWrites();
      setPrimaryLinks(cut, 'silent');
      const tally = await expectRecovery(stream);
      expect(tally.longestGapMs).to.be.below(SEEN_GONE_GAP_MS);
      setPrimaryLinks(cut, 'pass');
      const successor = await primary();
      expect(successor).not.to.equal(cut);
      await waitFor('the old primary to hold the new log', async () => {
        const [old, current] = [
          await fleet.member(cut).state(),
          await fleet.member(successor).state(),
        ];
        const hasSameRows = JSON.stringify(old.items) === JSON.stringify(current.items);
        return old.role === 'replica' && old.position === current.position && hasSameRows;
      });
    });
  });

  describe('cut while every VM stands still again and again', () => {
    /** Stops and continues every VM until the returned function is called. */
    const startPauses = (): (() => Promise<void>) => {
      let isOver = false;
      const pauseOften = async (vm: string): Promise<void> => {
        while (!isOver) {
          fleet.vms.get(vm)?.signal('SIGSTOP');
          await sleep(PAUSE_MS);
          fleet.vms.get(vm)?.signal('SIGCONT');
          await sleep(PAUSE_MS);
        }
      };
      const running = Promise.all(VMS.map(pauseOften));
      return async () => {
        isOver = true;
        await running;
      };
    };

    it('is replaced', async () => {
      const cut = await primary();
      const stream = await startWrites();
      const endPauses = startPauses();
      setPrimaryLinks(cut, 'silent');
      const tally = await expectRecovery(stream).finally(endPauses);
      expect(tally.longestGapMs).to.be.below(GAP_CEILING_MS);
      expect(await primary()).not.to.equal(cut);
    });
  });

  describe('cut from its members only', () => {
    it('is replaced although every VM reaches it', async () => {
      const cut = await primary();
      const stream = await startWrites();
      fleet.replicationLink(cut).setMode('silent');
      const tally = await expectRecovery(stream);
      fleet.replicationLink(cut).setMode('pass');
      expect(tally.longestGapMs).to.be.below(GAP_CEILING_MS);
      expect(await primary()).not.to.equal(cut);
    });
  });

  describe('killed under a stream of writes', () => {
    it('is replaced; no acknowledged write is lost and none is doubled', async () => {
      const killed = await primary();
      const stream = await startWrites();
      await fleet.member(killed).kill();
      const tally = await expectRecovery(stream);
      expect(tally.longestGapMs).to.be.below(SEEN_GONE_GAP_MS);
    });
  });
});
