import { expect } from 'chai';
import { Action, GroupCall } from '../generated/auburngrade/session/v1/session';
import createRateLimiter from '../limits/createRateLimiter';
import type GroupEndpoint from '../seams/groupEndpoint';
import createFakeMembers from '../standIns/createFakeMembers';
import type CallOutcome from './callOutcome';
import createGroupServer from './createGroupServer';

const PRIMARY: GroupEndpoint = {
  id: 'p',
  group: 'lots',
  address: 'p:1',
  dataCentre: 'waco',
  slots: 1,
  isLeaving: false,
  warmupLeftMs: 0,
  isRegisteredAsPrimary: true,
  startedAtUnixMs: 1,
  sequence: 1,
};

const createFixture = () => {
  const members = createFakeMembers([PRIMARY]);
  const nowMs = (): number => performance.now();
  const server = createGroupServer({
    group: 'lots',
    ownerVm: 'vm-1',
    dialer: members.dialer,
    failover: { promote: async () => 'rejected' },
    limiter: createRateLimiter(nowMs),
    log: { info: () => undefined, warn: () => undefined },
    nowMs,
    storeEra: () => 0,
    getRecordedPrimary: () => ({ primary: '', term: 0, fence: 0 }),
    record: async () => true,
    syncReplicas: () => 0,
    evacuationPhaseOf: () => 'inService',
    canReplacePrimary: () => false,
    findTenure: () => 'owner 1',
    isAuthoritative: () => true,
    isInHandoverGrace: () => true,
    controlAccount: () => 'ranch',
  });
  server.updateEndpoints([PRIMARY], 40);
  let lastId = 0;
  const write = (changes: Partial<GroupCall> = {}): Promise<CallOutcome> => {
    lastId += 1;
    const call = GroupCall.create({
      group: 'lots',
      account: 'ranch',
      requestId: `q${lastId}`,
      action: Action.ACTION_WRITE,
      text: `WRITE ${lastId}`,
      statementTimeoutMs: 2_500,
      targetLatencyMs: 400,
      transactionIdleMs: 1_000,
      ...changes,
    });
    return server.run('vm-2', call, new Map());
  };
  return { ...members, server, write };
};

describe('createGroupServer under load', () => {
  let fixture: ReturnType<typeof createFixture>;
  beforeEach(async () => {
    fixture = createFixture();
    await fixture.write();
  });
  afterEach(() => fixture.server.close());

  // Guards against attempts that are used up within 100 ms, and a refusal with seconds left.
  describe('with an endpoint that answers busy eight times', () => {
    const refuseEight = (): void =>
      Array.from({ length: 8 }).forEach(() => fixture.addFault('p', 'busy'));

    it('runs a write within its time limit', async () => {
      refuseEight();
      expect((await fixture.write()).kind).to.equal('complete');
    });

    it('commits a transaction within the time limit of its commit', async () => {
      await fixture.write({ transaction: 5, opensTransaction: true });
      refuseEight();
      const commit = { action: Action.ACTION_COMMIT, text: 'COMMIT', transaction: 5 };
      expect((await fixture.write(commit)).kind).to.equal('complete');
    });
  });
});
