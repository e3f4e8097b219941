import { expect } from 'chai';
import FailoverClient from '../seams/failoverClient';
import type GroupEndpoint from '../seams/groupEndpoint';
import createFakeMembers from '../standIns/createFakeMembers';
import sleep from '../time/sleep';
import createMemberPool from './createMemberPool';
import createPrimaryManager from './createPrimaryManager';

const POLL_MS = 10;

const ENDPOINTS: GroupEndpoint[] = ['p', 'r'].map((id) => ({
  id,
  group: 'lots',
  address: `${id}:1`,
  dataCentre: 'waco',
  slots: 3,
  isLeaving: false,
  isRegisteredAsPrimary: id === 'p',
  startedAtUnixMs: 1,
  sequence: 1,
}));

type SentCall = Parameters<FailoverClient['promote']>;

/** Starts a manager whose failover client connects in 20 ms, after `whileConnecting` has run. */
const createFixture = (whileConnecting: (state: { mayReplace: boolean }) => void) => {
  const members = createFakeMembers(ENDPOINTS);
  const state = { mayReplace: true, primary: 'p', term: 1, fence: 4 };
  const sent: SentCall[] = [];
  const events: { event: string; fields?: Record<string, unknown> }[] = [];
  class ConnectingClient extends FailoverClient {
    override async promote(...call: SentCall) {
      whileConnecting(state);
      await sleep(2 * POLL_MS);
      const mayStillSend = call[4];
      if (!mayStillSend()) return 'notRun' as const;
      sent.push(call);
      members.promote(call[1]);
      return 'accepted' as const;
    }
  }
  const log = {
    info: (event: string, fields?: Record<string, unknown>) => events.push({ event, fields }),
    warn: (event: string, fields?: Record<string, unknown>) => events.push({ event, fields }),
  };
  const nowMs = (): number => performance.now();
  const controlAccount = (): string => 'ranch';
  const pools = new Map(
    ENDPOINTS.map((endpoint) => [
      endpoint.id,
      createMemberPool(endpoint, {
        dialer: members.dialer,
        log,
        nowMs,
        onChange: () => undefined,
        onReply: () => undefined,
        controlAccount,
      }),
    ]),
  );
  const manager = createPrimaryManager({
    group: 'lots',
    ownerVm: 'vm-1',
    pools,
    failover: new ConnectingClient(),
    log,
    nowMs,
    getRecordedPrimary: () => state,
    storeEra: () => 0,
    record: async (next) => {
      Object.assign(state, next);
      return true;
    },
    findTenure: () => 'owner 1',
    canReplacePrimary: () => state.mayReplace,
    countOpenWork: () => 0,
    onPrimaryFound: () => undefined,
    onChange: () => undefined,
    controlAccount,
  });
  const awaitEvent = async (name: string) => {
    for (;;) {
      const found = events.find(({ event }) => event === name);
      if (found) return found.fields;
      await sleep(POLL_MS);
    }
  };
  /** Makes the primary count as down once it is known. */
  const losePrimary = async (): Promise<void> => {
    await awaitEvent('primary.believed');
    members.setUnreachable('p', true);
    await pools.get('p')?.probe();
    await pools.get('p')?.probe();
  };
  return { manager, sent, events, awaitEvent, losePrimary };
};

describe('createPrimaryManager', () => {
  let fixture: ReturnType<typeof createFixture>;
  afterEach(() => fixture.manager.close());

  it('promotes with the next fence while it keeps the right to replace the primary', async () => {
    fixture = createFixture(() => undefined);
    await fixture.losePrimary();
    expect(await fixture.awaitEvent('primary.promoted')).to.include({ outcome: 'accepted' });
    expect(fixture.sent.map((call) => call.slice(0, 4))).to.deep.equal([['lots', 'r', 'vm-1', 5]]);
  });

  it('withdraws the call when its right ends while the call connects', async () => {
    fixture = createFixture((state) => {
      Object.assign(state, { mayReplace: false });
    });
    await fixture.losePrimary();
    expect(await fixture.awaitEvent('primary.promoted')).to.include({ outcome: 'notRun' });
    expect(await fixture.awaitEvent('primary.callWithdrawn')).to.deep.equal({
      group: 'lots',
      endpoint: 'r',
      fence: 5,
    });
    expect(fixture.sent).to.deep.equal([]);
  });

  it('withdraws the call when the group is given up while the call connects', async () => {
    fixture = createFixture(() => fixture.manager.close());
    await fixture.losePrimary();
    expect(await fixture.awaitEvent('primary.promoted')).to.include({ outcome: 'notRun' });
    expect(fixture.sent).to.deep.equal([]);
  });
});
