import { expect } from 'chai';
import { Action, type GroupCall } from '../generated/auburngrade/session/v1/session';
import createRateLimiter from '../limits/createRateLimiter';
import FailoverClient from '../seams/failoverClient';
import type GroupEndpoint from '../seams/groupEndpoint';
import createFakeMembers from '../standIns/createFakeMembers';
import sleep from '../time/sleep';
import createGroupServer from './createGroupServer';

const createEndpoint = (id: string): GroupEndpoint => ({
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
});
const ENDPOINTS = ['p', 'r', 's'].map(createEndpoint);
const WRITE: GroupCall = {
  call: 1,
  group: 'lots',
  account: 'ranch',
  session: 1,
  valuesVersion: 0,
  hasValues: false,
  values: [],
  requestId: 'q1',
  action: Action.ACTION_WRITE,
  text: 'WRITE bale 1',
  prepared: undefined,
  maxAgeMs: undefined,
  notBefore: undefined,
  statementTimeoutMs: 600,
  targetLatencyMs: 200,
  priority: 1,
  waitedMs: 0,
  transaction: 0,
  opensTransaction: false,
  isReadOnly: false,
  transactionIdleMs: 300,
};
/** Long enough for the primary to be found lost and for a replacement, had one begun. */
const SETTLE_MS = 1_500;
const FOUND_MS = 200;
/** The first two checks of the entries are further apart than the grace for one that is missing. */
const MISSING_GRACE_MS = 2_600;

const createFixture = (syncReplicas: number) => {
  const members = createFakeMembers(ENDPOINTS);
  const promoted: string[] = [];
  const lines: { event: string; fields: Record<string, unknown> }[] = [];
  const recorded = { primary: '', term: 0, fence: 0 };
  class FakeFailoverClient extends FailoverClient {
    override async promote(...[, id]: Parameters<FailoverClient['promote']>) {
      promoted.push(id);
      members.promote(id);
      return 'accepted' as const;
    }
  }
  const nowMs = (): number => performance.now();
  const log = (event: string, fields: Record<string, unknown> = {}): void => {
    lines.push({ event, fields });
  };
  const server = createGroupServer({
    group: 'lots',
    ownerVm: 'vm-1',
    dialer: members.dialer,
    failover: new FakeFailoverClient(),
    limiter: createRateLimiter(nowMs),
    log: { info: log, warn: log },
    nowMs,
    random: Math.random,
    storeEra: () => 0,
    getRecordedPrimary: () => recorded,
    record: async (next) => {
      Object.assign(recorded, next);
      return true;
    },
    syncReplicas: () => syncReplicas,
    evacuationPhaseOf: () => 'inService',
    canReplacePrimary: () => true,
    findTenure: () => 'owner 1',
    isAuthoritative: () => true,
    isInHandoverGrace: () => false,
    controlAccount: () => 'ranch',
  });
  const list = (endpoints: readonly GroupEndpoint[]): void => server.updateEndpoints(endpoints, 21);
  list(ENDPOINTS);
  /** Commits once; only the given replicas receive it. */
  const commitTo = async (...replicas: string[]): Promise<void> => {
    const outcome = await server.run('vm-2', WRITE, new Map());
    expect(outcome.kind).to.equal('complete');
    replicas.forEach(members.replicateTo);
  };
  const crashPrimary = (): void => {
    members.setUnreachable('p', true);
    members.endConnections('p');
    // The primary is found to be lost by the statements that need it.
    for (let count = 0; count < 3; count += 1) server.run('vm-2', WRITE, new Map());
  };
  const findWaiting = (): unknown =>
    lines.findLast(({ event }) => event === 'primary.waitingForReplica')?.fields.waitingFor;
  return { ...members, server, promoted, list, commitTo, crashPrimary, findWaiting };
};

const withLeaving = (...leaving: string[]): GroupEndpoint[] =>
  ENDPOINTS.map((endpoint) => ({ ...endpoint, isLeaving: leaving.includes(endpoint.id) }));

// Guards against a promotion that loses commits which were acknowledged by another replica.
describe('failover of a group whose commits wait for a replica', () => {
  let fixture: ReturnType<typeof createFixture>;
  const begin = async (syncReplicas = 1): Promise<void> => {
    fixture = createFixture(syncReplicas);
    await sleep(FOUND_MS);
  };
  afterEach(() => fixture.server.close());

  describe('when the replica with the last commits', () => {
    it('is leaving, promotes it', async () => {
      await begin();
      fixture.list(withLeaving('r'));
      await fixture.commitTo('r');
      fixture.crashPrimary();
      await sleep(SETTLE_MS);
      expect(fixture.promoted[0]).to.equal('r');
    });

    const faults: Record<string, (isSilent: boolean) => void> = {
      'does not answer': (isSilent) => fixture.setUnreachable('r', isSilent),
      'answers status as busy': (isBusy) => fixture.setBusy('r', isBusy),
      'has no connection left': (isFull) => fixture.refuseConnections('r', isFull),
    };
    Object.entries(faults).forEach(([title, setFault]) =>
      it(`${title}, waits and says for which`, async () => {
        await begin();
        await fixture.commitTo('r');
        setFault(true);
        fixture.endConnections('r');
        fixture.crashPrimary();
        await sleep(SETTLE_MS);
        expect(fixture.promoted).to.deep.equal([]);
        expect(fixture.findWaiting()).to.deep.equal(['p', 'r']);
        setFault(false);
        await sleep(SETTLE_MS);
        expect(fixture.promoted).to.deep.equal(['r']);
      }),
    );

    it('has no entry any more, waits for it', async () => {
      await begin();
      await fixture.commitTo('r');
      fixture.setUnreachable('r', true);
      fixture.list(withLeaving().filter(({ id }) => id !== 'r'));
      await sleep(MISSING_GRACE_MS);
      fixture.list(withLeaving().filter(({ id }) => id !== 'r'));
      fixture.crashPrimary();
      await sleep(SETTLE_MS);
      expect(fixture.promoted).to.deep.equal([]);
      fixture.setUnreachable('r', false);
      fixture.list(ENDPOINTS);
      await sleep(SETTLE_MS);
      expect(fixture.promoted).to.deep.equal(['r']);
    }).timeout(10_000);

    it('does not answer an owner that knows of too few commits, waits for it', async () => {
      await begin();
      fixture.crashPrimary();
      fixture.setUnreachable('r', true);
      await sleep(SETTLE_MS);
      expect(fixture.promoted).to.deep.equal([]);
      expect(fixture.findWaiting()).to.deep.equal(['p', 'r']);
    });
  });

  it('goes on with the primary if it comes back before the replica', async () => {
    await begin();
    await fixture.commitTo('r');
    fixture.setUnreachable('r', true);
    fixture.crashPrimary();
    await sleep(SETTLE_MS);
    fixture.setUnreachable('p', false);
    await sleep(SETTLE_MS);
    expect(fixture.promoted).to.deep.equal([]);
    await fixture.commitTo();
  });

  it('promotes a replica that has all that was acknowledged, whoever is silent', async () => {
    await begin();
    await sleep(SETTLE_MS);
    await fixture.commitTo('r', 's');
    fixture.setUnreachable('r', true);
    fixture.crashPrimary();
    await sleep(SETTLE_MS);
    expect(fixture.promoted).to.deep.equal(['s']);
  });

  describe('whose primary is leaving', () => {
    it('keeps it until a replica that stays has received all its commits', async () => {
      await begin();
      await fixture.commitTo('r');
      fixture.setUnreachable('r', true);
      fixture.list(withLeaving('p', 'r'));
      await sleep(2 * SETTLE_MS);
      expect(fixture.promoted).to.deep.equal([]);
      await fixture.commitTo('s');
      await sleep(2 * SETTLE_MS);
      expect(fixture.promoted).to.deep.equal(['s']);
    }).timeout(10_000);
  });

  it('waits for none of them where commits do not wait for replicas', async () => {
    await begin(0);
    await fixture.commitTo('r');
    fixture.setUnreachable('r', true);
    fixture.crashPrimary();
    await sleep(SETTLE_MS);
    expect(fixture.promoted).to.deep.equal(['s']);
  });
});
