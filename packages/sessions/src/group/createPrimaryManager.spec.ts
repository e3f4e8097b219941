import { expect } from 'chai';
import FailoverClient from '../seams/failoverClient';
import type GroupEndpoint from '../seams/groupEndpoint';
import createFakeMembers from '../standIns/createFakeMembers';
import sleep from '../time/sleep';
import createMemberPool from './createMemberPool';
import createPrimaryManager from './createPrimaryManager';

const POLL_MS = 10;
/** How long a manager waits for the endpoint that it promoted. */
const PROMOTION_TIMEOUT_MS = 3_000;

const ENDPOINTS: GroupEndpoint[] = ['p', 'r'].map((id) => ({
  id,
  group: 'lots',
  address: `${id}:1`,
  dataCentre: 'waco',
  slots: 3,
  isLeaving: false,
  warmupLeftMs: 0,
  isRegisteredAsPrimary: id === 'p',
  startedAtUnixMs: 1,
  sequence: 1,
}));

type SentCall = Parameters<FailoverClient['promote']>;

/** Starts a manager whose failover client connects in 20 ms, after `whileConnecting` has run. */
const createFixture = (
  whileConnecting: (state: { mayReplace: boolean }) => void,
  effect: (members: ReturnType<typeof createFakeMembers>, endpoint: string) => void = (
    { promote },
    endpoint,
  ) => promote(endpoint),
) => {
  const members = createFakeMembers(ENDPOINTS);
  const state = {
    mayReplace: true,
    outcome: 'accepted' as 'accepted' | 'mayHaveRun' | 'rejected',
    primary: 'p',
    term: 1,
    fence: 4,
  };
  const sent: SentCall[] = [];
  const events: { event: string; fields?: Record<string, unknown> }[] = [];
  class ConnectingClient extends FailoverClient {
    override async promote(...call: SentCall) {
      whileConnecting(state);
      await sleep(2 * POLL_MS);
      const mayStillSend = call[4];
      if (!mayStillSend()) return 'notRun' as const;
      sent.push(call);
      effect(members, call[1]);
      return state.outcome;
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
        evacuationPhaseOf: () => 'inService',
        isPrimary: () => false,
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
    syncReplicas: () => 0,
    departedEndpoints: () => [],
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
  return { manager, members, state, sent, events, awaitEvent, losePrimary };
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

  describe('when the recorded primary is lost, and its predecessor still reports to lead', () => {
    const EFFECT_AFTER_MS = 400;
    const recordSuccessor = (): void => {
      Object.assign(fixture.state, { primary: 'r', term: 2 });
      fixture.members.setUnreachable('r', true);
    };

    it('believes the predecessor only once it leads a new term', async () => {
      fixture = createFixture(
        () => undefined,
        ({ promote }, endpoint) => setTimeout(() => promote(endpoint), EFFECT_AFTER_MS),
      );
      recordSuccessor();
      await fixture.awaitEvent('primary.promoted');
      await sleep(EFFECT_AFTER_MS / 2);
      expect(fixture.manager.getKnownPrimary()).to.equal(undefined);
      expect(await fixture.awaitEvent('primary.believed')).to.include({ endpoint: 'p', term: 2 });
    });

    it('believes it, and records its term, if the promotion changes nothing', async () => {
      fixture = createFixture(
        () => undefined,
        () => undefined,
      );
      recordSuccessor();
      expect(await fixture.awaitEvent('primary.believed')).to.include({ endpoint: 'p', term: 1 });
      expect(fixture.state).to.include({ primary: 'p', term: 1, fence: 5 });
    });
  });

  it('believes no predecessor that leads no new term after a call of unknown outcome', async () => {
    fixture = createFixture(
      () => undefined,
      () => undefined,
    );
    Object.assign(fixture.state, { primary: 'r', term: 2, outcome: 'mayHaveRun' });
    fixture.members.setUnreachable('r', true);
    await fixture.awaitEvent('primary.promoted');
    await sleep(PROMOTION_TIMEOUT_MS + POLL_MS * 20);
    expect(fixture.events.map(({ event }) => event)).to.not.include('primary.believed');
  });

  it('records the primary again whose replacement was rejected', async () => {
    fixture = createFixture(
      () => undefined,
      () => undefined,
    );
    Object.assign(fixture.state, { outcome: 'rejected' });
    await fixture.losePrimary();
    await fixture.awaitEvent('primary.promoted');
    expect(await fixture.awaitEvent('primary.termCorrected')).to.include({ primary: 'p', term: 1 });
    expect(fixture.state).to.include({ primary: 'p', term: 1, fence: 5 });
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
