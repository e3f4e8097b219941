import { expect } from 'chai';
import { Action, GroupCall } from '../generated/auburngrade/session/v1/session';
import createRateLimiter from '../limits/createRateLimiter';
import type GroupEndpoint from '../seams/groupEndpoint';
import type MemberCommand from '../seams/memberCommand';
import MemberDialer from '../seams/memberDialer';
import createFakeMembers from '../standIns/createFakeMembers';
import type CallOutcome from './callOutcome';
import createGroupServer from './createGroupServer';
import sleep from '../time/sleep';

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

const SERVICE_MS = 10;

const createFixture = () => {
  const members = createFakeMembers([PRIMARY]);
  const waitsOfRefusedMs: number[] = [];
  let slot = Promise.resolve();
  const occupySlot = (): Promise<void> => {
    slot = slot.then(() => sleep(SERVICE_MS));
    return slot;
  };
  class SlowDialer extends MemberDialer {
    override async open(...parameters: Parameters<MemberDialer['open']>) {
      const connection = await members.dialer.open(...parameters);
      return {
        ...connection,
        send: async (command: MemberCommand) => {
          if (command.kind === 'forward') await occupySlot();
          return connection.send(command);
        },
      };
    }

    override canSend(...parameters: Parameters<MemberDialer['canSend']>) {
      return members.dialer.canSend(...parameters);
    }

    override readStatus(...parameters: Parameters<MemberDialer['readStatus']>) {
      return members.dialer.readStatus(...parameters);
    }
  }
  const nowMs = (): number => performance.now();
  const server = createGroupServer({
    group: 'lots',
    ownerVm: 'vm-1',
    dialer: new SlowDialer(),
    failover: { promote: async () => 'rejected' },
    limiter: createRateLimiter(nowMs),
    log: {
      info: (event, fields) => {
        if (event === 'request.refused') waitsOfRefusedMs.push(Number(fields?.waitedMs));
      },
      warn: () => undefined,
    },
    nowMs,
    random: Math.random,
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
  /** Writes until the forecast has learned the service time while statements wait. */
  const learn = async (): Promise<void> => {
    await Promise.all(Array.from({ length: 40 }, () => write({ statementTimeoutMs: 30_000 })));
  };
  const writeAtOnce = (
    count: number,
    changes: Partial<GroupCall>,
  ): Promise<{ outcome: CallOutcome; tookMs: number }[]> => {
    const startedAtMs = nowMs();
    return Promise.all(
      Array.from({ length: count }, async () => {
        const outcome = await write(changes);
        return { outcome, tookMs: nowMs() - startedAtMs };
      }),
    );
  };
  return { ...members, waitsOfRefusedMs, server, write, learn, writeAtOnce };
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

  // Guards against memory that grows with what one account sends while nothing can start.
  describe('with an account whose statements fill the queue while the group has no primary', () => {
    it('refuses its newest at once, and keeps those of another account', async () => {
      fixture.setUnreachable('p', true);
      fixture.endConnections('p');
      const other = fixture.write({ account: 'farm', text: 'WRITE other' });
      const text = `WRITE ${'x'.repeat(1_000_000)}`;
      const crowd = Promise.all(Array.from({ length: 40 }, () => fixture.write({ text })));
      await sleep(20);
      expect(fixture.server.countQueued()).to.equal(34);
      fixture.setUnreachable('p', false);
      expect((await other).kind).to.equal('complete');
      expect((await crowd).filter(({ kind }) => kind === 'complete')).to.have.length(33);
    });
  });

  describe('with a crowd of 200 writes, of which some 50 can run within the time limit', () => {
    const crowd = { statementTimeoutMs: 600, targetLatencyMs: 100 };
    const isRefused = ({ outcome }: { outcome: CallOutcome }): boolean =>
      outcome.kind === 'refused' && outcome.code === 'busy';

    // Guards against refusals after 0.85 of the time limit that could have been given at once.
    it('refuses at once most of those that cannot start, and runs the others', async () => {
      await fixture.learn();
      const refused = (await fixture.writeAtOnce(200, crowd)).filter(isRefused);
      expect(fixture.waitsOfRefusedMs.filter((waitedMs) => waitedMs < 10).length).to.be.above(40);
      expect(fixture.server.refusalCounts().get('forecast')).to.be.above(40);
      expect(refused.length).to.be.below(190);
      expect(fixture.committed).to.have.length(41 + 200 - refused.length);
    });

    // Guards against a crowd that is told to return at the same moment.
    it('asks the refused callers to return at different times within their time limit', async () => {
      await fixture.learn();
      const refused = (await fixture.writeAtOnce(200, crowd)).filter(isRefused);
      const delaysMs = refused.map(({ outcome }) =>
        outcome.kind === 'refused' ? Number(/retry in (\d+) ms$/.exec(outcome.message)?.[1]) : 0,
      );
      delaysMs.forEach((delayMs) => expect(delayMs).to.be.within(50, 600));
      expect(new Set(delaysMs).size).to.be.above(30);
    });

    it('refuses none of them at once while the service time is unknown', async () => {
      const refused = (await fixture.writeAtOnce(200, crowd)).filter(isRefused);
      expect(Math.min(...refused.map(({ tookMs }) => tookMs))).to.be.above(150);
    });
  });
});
