import { randomUUID } from 'node:crypto';
import { AccessMode, Verdict } from '@auburngrade/caller';
import type { TermRecord } from '@auburngrade/coordination';
import { startFleet, waitFor, type Fleet } from '@auburngrade/testkit';
import { expect } from 'chai';
import createWriteStream from './writeStream/createWriteStream';
import expectOneEffect from './writeStream/expectOneEffect';
import readTerm from './writeStream/readTerm';

const GROUP = 'auctions';
const VMS = ['waco-1', 'temple-1', 'bryan-1'];
const GAP_CEILING_MS = 13_000;
/** Leaves the record in state promoting for long enough to be seen. */
const SLOW_PLATFORM_MS = 300;
/** One way; the promotion is then still under way when its claim is seen. */
const SLOW_MEMBER_MS = 100;

describe('a promotion under faults', () => {
  let fleet: Fleet;
  let key: string;

  const activeRecord = (): Promise<TermRecord> =>
    waitFor('an active term', async () => {
      const record = await readTerm(fleet, GROUP);
      return record?.state === 'active' ? record : undefined;
    });

  const setPrimaryLinks = (member: string, mode: 'pass' | 'silent'): void => {
    VMS.forEach((vm) => fleet.link(vm, member).setMode(mode));
    fleet.replicationLink(member).setMode(mode);
  };

  const setMemberDelay = (delayMs: number): void =>
    VMS.forEach((vm) =>
      fleet.members.forEach(({ name }) => fleet.link(vm, name).setDelayMs(delayMs)),
    );

  const startWrites = async () => {
    const stream = createWriteStream({ fleet, key, group: GROUP, vms: VMS, timeoutMs: 6_000 });
    await waitFor('writes', () => stream.ranCount() > 30);
    return stream;
  };

  const expectRecovery = async (stream: Awaited<ReturnType<typeof startWrites>>) => {
    await waitFor('writes again', () => stream.ranSinceLastGap() > 30, GAP_CEILING_MS);
    const tally = await expectOneEffect(fleet, GROUP, stream);
    expect(tally.longestGapMs).to.be.below(GAP_CEILING_MS);
  };

  /** Cuts the primary and waits until some VM has won a term; resolves with that VM. */
  const cutPrimary = async (previous: TermRecord): Promise<string> => {
    setPrimaryLinks(previous.primary ?? '', 'silent');
    const record = await waitFor('a claimed term', async () => {
      const found = await readTerm(fleet, GROUP);
      return found?.state === 'promoting' ? found : undefined;
    });
    return record.promoter?.split('/')[0] ?? '';
  };

  const bringBack = async (member: string): Promise<void> => {
    setPrimaryLinks(member, 'pass');
    await waitFor(`${member} to follow`, async () => {
      const primary = (await readTerm(fleet, GROUP))?.primary ?? '';
      const [state, current] = [
        await fleet.member(member).state(),
        await fleet.member(primary).state(),
      ];
      return state.role === 'replica' && state.position === current.position;
    });
  };

  before(async () => {
    fleet = await startFleet({ hasFaultLinks: true, hasReplicationLinks: true });
    await fleet.put('account', 'ranch', { limit: { ratePerS: 100_000, burst: 100_000 } });
    await fleet.put('profile', 'bids', { accounts: ['ranch'], groups: [GROUP] });
    ({ key } = await fleet.issueKey('ranch'));
    await fleet.settle();
    await activeRecord();
  });

  afterEach(async () => {
    await fleet.platform.setFault('delayMs', 0);
    await fleet.platform.setFault('loseAnswers', 0);
  });

  after(async () => {
    await fleet.stop();
  });

  describe('a request id that is used twice', () => {
    const send = async (vm: string, requestId: string, amount: string, item: string) => {
      const caller = fleet.caller(vm, key);
      const outcome = await caller.execute({
        profile: 'bids',
        group: GROUP,
        accessMode: AccessMode.WRITE,
        sql: 'UPDATE items SET value = value + $1 WHERE key = $2',
        parameters: [{ text: amount }, { text: item }],
        requestId,
        timeoutMs: 5_000,
      });
      caller.close();
      return outcome;
    };

    it('has one effect, and one outcome through every VM', async () => {
      const requestId = randomUUID();
      const outcomes = await Promise.all(VMS.map((vm) => send(vm, requestId, '5', 'lot')));
      expect(outcomes.map(({ verdict }) => Verdict[verdict])).to.deep.equal(['RAN', 'RAN', 'RAN']);
      expect(outcomes.map(({ rows }) => rows?.rowCount)).to.deep.equal([1, 1, 1]);
      const { primary } = await activeRecord();
      expect((await fleet.member(primary ?? '').state()).items.lot).to.equal('5');
    });

    it('is refused for another statement', async () => {
      const requestId = randomUUID();
      await send('waco-1', requestId, '1', 'pen');
      const outcome = await send('bryan-1', requestId, '2', 'pen');
      expect(Verdict[outcome.verdict]).to.equal('NOT_RUN');
      expect(outcome.refusal?.code).to.equal('duplicateRequest');
    });
  });

  describe('the platform loses the answer to the claim', () => {
    it('goes on by what the platform holds', async () => {
      const previous = await activeRecord();
      const stream = await startWrites();
      await fleet.platform.setFault('loseAnswers', 1);
      const before = (await fleet.platform.counts()).txn ?? 0;
      setPrimaryLinks(previous.primary ?? '', 'silent');
      await waitFor('a claim', async () => ((await fleet.platform.counts()).txn ?? 0) > before);
      await fleet.platform.setFault('loseAnswers', 0);
      await expectRecovery(stream);
      await bringBack(previous.primary ?? '');
    });
  });

  describe('the promoter is paused with the platform slow', () => {
    it('is taken over; the promoter wakes unaware and harms nothing', async () => {
      const previous = await activeRecord();
      const stream = await startWrites();
      await fleet.platform.setFault('delayMs', SLOW_PLATFORM_MS);
      const promoter = await cutPrimary(previous);
      fleet.vms.get(promoter)?.signal('SIGSTOP');
      await waitFor('writes again', () => stream.ranSinceLastGap() > 30, GAP_CEILING_MS);
      fleet.vms.get(promoter)?.signal('SIGCONT');
      const { term } = await activeRecord();
      const ranBefore = stream.ranCount();
      await waitFor('more writes', () => stream.ranCount() > ranBefore + 50);
      await expectRecovery(stream);
      expect((await activeRecord()).term).to.equal(term);
      await fleet.platform.setFault('delayMs', 0);
      await bringBack(previous.primary ?? '');
    });
  });

  describe('the promoter is killed with the platform and the members slow', () => {
    it('is taken over by another VM', async () => {
      const previous = await activeRecord();
      const stream = await startWrites();
      setMemberDelay(SLOW_MEMBER_MS);
      await fleet.platform.setFault('delayMs', SLOW_PLATFORM_MS);
      const promoter = await cutPrimary(previous);
      await fleet.vms.get(promoter)?.kill();
      fleet.vms.delete(promoter);
      setMemberDelay(0);
      await expectRecovery(stream);
      expect((await activeRecord()).term).to.be.above(previous.term + 1);
    });
  });
});
