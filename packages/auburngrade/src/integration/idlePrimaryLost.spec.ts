import { randomUUID } from 'node:crypto';
import { setTimeout as sleep } from 'node:timers/promises';
import { AccessMode, Verdict } from '@auburngrade/caller';
import type { TermRecord } from '@auburngrade/coordination';
import { startFleet, waitFor, type Fleet } from '@auburngrade/testkit';
import { expect } from 'chai';
import readTerm from './writeStream/readTerm';

const GROUP = 'auctions';
const VMS = ['waco-1', 'temple-1', 'bryan-1'];
const CHANGE_OVER_MS = 13_000;
const FIRST_REQUEST_MS = 2_000;
/** After this time without requests a group is polled seldom. */
const IDLE_AFTER_MS = 7_000;

describe('a primary lost in a group without requests', () => {
  let fleet: Fleet;
  let key: string;

  const activeRecord = (): Promise<TermRecord> =>
    waitFor('an active term', async () => {
      const record = await readTerm(fleet, GROUP);
      return record?.state === 'active' ? record : undefined;
    });

  const write = async (vm: string): Promise<string> => {
    const caller = fleet.caller(vm, key);
    const { verdict } = await caller.execute({
      profile: 'bids',
      group: GROUP,
      accessMode: AccessMode.WRITE,
      sql: 'UPDATE items SET value = value + $1 WHERE key = $2',
      parameters: [{ text: '1' }, { text: 'lot' }],
      requestId: randomUUID(),
      timeoutMs: 5_000,
    });
    caller.close();
    return Verdict[verdict];
  };

  const setPrimaryLinks = (member: string, mode: 'pass' | 'silent'): void => {
    VMS.forEach((vm) => fleet.link(vm, member).setMode(mode));
    fleet.replicationLink(member).setMode(mode);
  };

  /** Waits until the group is idle; resolves with its primary. */
  const idlePrimary = async (): Promise<string> => {
    await sleep(IDLE_AFTER_MS);
    return (await activeRecord()).primary ?? '';
  };

  const expectReplaced = async (lost: string, withinMs: number): Promise<void> => {
    const record = await waitFor(
      'another primary',
      async () => {
        const found = await readTerm(fleet, GROUP);
        return found?.state === 'active' && found.primary !== lost ? found : undefined;
      },
      withinMs,
    );
    expect(record.voters).to.include(lost);
  };

  before(async () => {
    fleet = await startFleet({ hasFaultLinks: true, hasReplicationLinks: true });
    await fleet.put('account', 'ranch', { limit: { ratePerS: 100_000, burst: 100_000 } });
    await fleet.put('profile', 'bids', { accounts: ['ranch'], groups: [GROUP] });
    ({ key } = await fleet.issueKey('ranch'));
    await fleet.settle();
    await activeRecord();
    expect(await write('waco-1')).to.equal('RAN');
  });

  afterEach(() => {
    fleet.members.forEach(({ name }) => setPrimaryLinks(name, 'pass'));
  });

  after(async () => {
    await fleet.stop();
  });

  it('is replaced without a request, and follows when it comes back', async () => {
    const lost = await idlePrimary();
    setPrimaryLinks(lost, 'silent');
    await expectReplaced(lost, CHANGE_OVER_MS);
    setPrimaryLinks(lost, 'pass');
    await waitFor('the old primary to follow', async () => {
      const current = (await activeRecord()).primary ?? '';
      const [old, now] = [await fleet.member(lost).state(), await fleet.member(current).state()];
      return old.role === 'replica' && old.position === now.position;
    });
  });

  it('is replaced for the first request', async () => {
    const lost = await idlePrimary();
    setPrimaryLinks(lost, 'silent');
    const startedAtMs = performance.now();
    expect(await write('temple-1')).to.equal('RAN');
    expect(performance.now() - startedAtMs).to.be.below(FIRST_REQUEST_MS);
    setPrimaryLinks(lost, 'pass');
  });

  it('is replaced when it was killed', async () => {
    const killed = await idlePrimary();
    await fleet.member(killed).kill();
    await expectReplaced(killed, CHANGE_OVER_MS);
    expect(await write('bryan-1')).to.equal('RAN');
  });
});
