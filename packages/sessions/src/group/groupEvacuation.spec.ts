import type { EvacuationPhase } from '@auburngrade/coordination';
import { expect } from 'chai';
import { Action, GroupCall } from '../generated/auburngrade/session/v1/session';
import createRateLimiter from '../limits/createRateLimiter';
import type GroupEndpoint from '../seams/groupEndpoint';
import type MemberConnection from '../seams/memberConnection';
import MemberDialer from '../seams/memberDialer';
import createFakeMembers from '../standIns/createFakeMembers';
import sleep from '../time/sleep';
import createGroupServer from './createGroupServer';

const POLL_MS = 10;
/** Long enough for the primary to be found, and for a replacement, had one begun. */
const SETTLE_MS = 400;
const AT_ONCE_MS = 100;

/** Endpoints by data centre; `p` is the primary. */
const createEndpoints = (dataCentres: Record<string, string>): GroupEndpoint[] =>
  Object.entries(dataCentres).map(([id, dataCentre]) => ({
    id,
    group: 'lots',
    address: `${id}:1`,
    dataCentre,
    slots: 3,
    isLeaving: false,
    warmupLeftMs: 0,
    isRegisteredAsPrimary: id === 'p',
    startedAtUnixMs: 1,
    sequence: 1,
  }));

/** Reports each connection that is opened and each command that is sent. */
const createObservedDialer = (
  dialer: MemberDialer,
  onContact: (endpoint: string, kind: string) => void,
): MemberDialer => {
  class ObservedDialer extends MemberDialer {
    override async open(...parameters: Parameters<MemberDialer['open']>) {
      const [{ id }] = parameters;
      onContact(id, 'open');
      const connection = await dialer.open(...parameters);
      return {
        ...connection,
        send: (command: Parameters<MemberConnection['send']>[0]) => {
          onContact(id, command.kind);
          return connection.send(command);
        },
      };
    }

    override canSend() {
      return true;
    }

    override readStatus(...parameters: Parameters<MemberDialer['readStatus']>) {
      return dialer.readStatus(...parameters);
    }
  }
  return new ObservedDialer();
};

const createFixture = (
  dataCentres: Record<string, string>,
  syncReplicas = 0,
  evacuated: readonly string[] = [],
) => {
  const endpoints = createEndpoints(dataCentres);
  const members = createFakeMembers(endpoints);
  const phases = new Map<string, EvacuationPhase>(
    evacuated.map((dataCentre) => [dataCentre, 'evacuated']),
  );
  const contacts: { endpoint: string; kind: string }[] = [];
  const promoted: string[] = [];
  const events: string[] = [];
  const hooks = { whileRecording: async (): Promise<void> => undefined };
  const recorded = { primary: '', term: 0, fence: 0 };
  const nowMs = (): number => performance.now();
  const log = (event: string): void => {
    events.push(event);
  };
  const server = createGroupServer({
    group: 'lots',
    ownerVm: 'vm-1',
    dialer: createObservedDialer(members.dialer, (endpoint, kind) =>
      contacts.push({ endpoint, kind }),
    ),
    failover: {
      promote: async (_group, id) => {
        promoted.push(id);
        members.promote(id, false);
        return 'accepted';
      },
    },
    limiter: createRateLimiter(nowMs),
    log: { info: log, warn: log },
    nowMs,
    storeEra: () => 0,
    getRecordedPrimary: () => recorded,
    record: async (next) => {
      await hooks.whileRecording();
      Object.assign(recorded, next);
      return true;
    },
    syncReplicas: () => syncReplicas,
    evacuationPhaseOf: (dataCentre) => phases.get(dataCentre) ?? 'inService',
    canReplacePrimary: () => true,
    findTenure: () => 'owner 1',
    isAuthoritative: () => true,
    isInHandoverGrace: () => false,
    controlAccount: () => 'ranch',
  });
  server.updateEndpoints(endpoints, 21);
  const setPhase = (dataCentre: string, phase: EvacuationPhase): void => {
    phases.set(dataCentre, phase);
    server.noteEvacuationsChanged();
  };
  const runCall = (changes: Partial<GroupCall> = {}) =>
    server.run(
      'vm-2',
      GroupCall.create({
        group: 'lots',
        account: 'ranch',
        action: Action.ACTION_WRITE,
        text: 'WRITE bale 1',
        statementTimeoutMs: 600,
        targetLatencyMs: 200,
        transactionIdleMs: 5_000,
        ...changes,
      }),
      new Map(),
    );
  const awaitPromotions = async (count: number): Promise<void> => {
    while (promoted.length < count) await sleep(POLL_MS);
  };
  const list = (changes: Partial<GroupEndpoint>, warmupRatePerS: number): void =>
    server.updateEndpoints(
      endpoints.map((endpoint) => ({ ...endpoint, ...changes })),
      21,
      warmupRatePerS,
    );
  const whileRecording = (run: () => Promise<void>): void => {
    hooks.whileRecording = run;
  };
  return {
    ...members,
    server,
    contacts,
    promoted,
    events,
    setPhase,
    run: runCall,
    awaitPromotions,
    list,
    whileRecording,
  };
};

const COMMIT = { action: Action.ACTION_COMMIT, text: 'COMMIT', transaction: 5 };
const OPENING = { transaction: 5, opensTransaction: true };
const READ = { action: Action.ACTION_READ, text: 'READ bale' };

// Guards against statements that reach the endpoints of an evacuated data centre, and against lost commits.
describe('evacuation of a data centre of a group', () => {
  let fixture: ReturnType<typeof createFixture>;
  const begin = async (...parameters: Parameters<typeof createFixture>): Promise<void> => {
    fixture = createFixture(...parameters);
    expect((await fixture.run()).kind).to.equal('complete');
  };
  const expectAtOnce = async (outcome: ReturnType<typeof fixture.run>, code: string) => {
    const answer = await Promise.race([outcome, sleep(AT_ONCE_MS).then(() => 'no answer')]);
    expect(answer).to.include({ kind: 'refused', code });
  };
  const expectNoContact = async (endpoint: string): Promise<void> => {
    const before = fixture.contacts.length;
    await sleep(SETTLE_MS);
    const later = fixture.contacts.slice(before);
    expect(later.filter((contact) => contact.endpoint === endpoint)).to.deep.equal([]);
  };
  afterEach(() => fixture.server.close());

  describe('with the primary there and a replica elsewhere', () => {
    beforeEach(() => begin({ p: 'waco', q: 'waco', r: 'temple', s: 'temple' }));

    it('promotes the replica, and serves writes there before the last phase', async () => {
      fixture.replicate();
      fixture.setPhase('waco', 'evacuating');
      await fixture.awaitPromotions(1);
      expect((await fixture.run()).kind).to.equal('complete');
      expect(['r', 's']).to.include(fixture.promoted[0]);
      expect(fixture.runs.at(-1)?.endpoint).to.equal(fixture.promoted[0]);
      expect(fixture.events).to.include('group.evacuating');
      fixture.setPhase('waco', 'evacuated');
      await expectNoContact('p');
      expect(fixture.server.endpointPhases()).to.deep.equal({
        inService: 2,
        evacuating: 0,
        evacuated: 2,
      });
    });

    it('starts no reads at replicas there', async () => {
      fixture.replicate();
      fixture.setPhase('waco', 'evacuating');
      const before = fixture.runs.length;
      await Promise.all(Array.from({ length: 6 }, () => fixture.run({ ...READ, maxAgeMs: 2_000 })));
      const endpoints = fixture.runs.slice(before).map(({ endpoint }) => endpoint);
      expect(endpoints).to.have.length(6).and.to.not.include('q');
    });

    // Guards against the loss of a commit that is acknowledged while the replacement is being recorded.
    it('promotes no replica that lacks a commit of a transaction that outlasts the wait', async () => {
      fixture.replicate();
      await fixture.run(OPENING);
      fixture.setPhase('waco', 'evacuating');
      fixture.whileRecording(async () => {
        expect((await fixture.run(COMMIT)).kind).to.equal('complete');
        setTimeout(() => {
          expect(fixture.promoted).to.deep.equal([]);
          fixture.replicate();
        }, 200);
      });
      await fixture.awaitPromotions(1);
      expect(fixture.findPosition(fixture.promoted[0] as string)).to.be.at.least(3);
    });

    it('lets an open transaction continue for a while', async () => {
      fixture.replicate();
      await fixture.run(OPENING);
      fixture.setPhase('waco', 'evacuating');
      await sleep(100);
      expect((await fixture.run(COMMIT)).kind).to.equal('complete');
      fixture.replicate();
      await fixture.awaitPromotions(1);
    });

    it('replaces the new primary, when that crashes, by one elsewhere', async () => {
      fixture.replicate();
      fixture.setPhase('waco', 'evacuating');
      await fixture.awaitPromotions(1);
      expect((await fixture.run()).kind).to.equal('complete');
      fixture.setPhase('waco', 'evacuated');
      fixture.replicate();
      const [crashed] = fixture.promoted;
      fixture.setUnreachable(crashed as string, true);
      fixture.endConnections(crashed as string);
      for (let count = 0; count < 3; count += 1) fixture.run();
      await fixture.awaitPromotions(2);
      expect(new Set(fixture.promoted)).to.deep.equal(new Set(['r', 's']));
    });

    it('replaces a primary that is down, also in the last phase', async () => {
      fixture.replicate();
      fixture.setUnreachable('p', true);
      fixture.setPhase('waco', 'evacuated');
      await fixture.awaitPromotions(1);
      expect(['r', 's']).to.include(fixture.promoted[0]);
    });

    describe('that is behind', () => {
      it('keeps the primary until the replica has caught up', async () => {
        fixture.setPhase('waco', 'evacuating');
        await sleep(2_500);
        expect(fixture.promoted).to.deep.equal([]);
        fixture.replicate();
        await fixture.awaitPromotions(1);
      });

      it('waits in the last phase with statements refused, at most 5 s', async () => {
        fixture.setPhase('waco', 'evacuated');
        await sleep(SETTLE_MS);
        await expectAtOnce(fixture.run(), 'busy');
        await sleep(4_000);
        expect(fixture.promoted).to.deep.equal([]);
        await fixture.awaitPromotions(1);
        expect(fixture.events).to.include('primary.candidateBehind');
      });

      it('promotes it as soon as it has caught up in the last phase', async () => {
        fixture.setPhase('waco', 'evacuated');
        await sleep(SETTLE_MS);
        fixture.replicateTo('r');
        await sleep(SETTLE_MS);
        expect(fixture.promoted).to.deep.equal(['r']);
      });
    });

    it('drops a replacement when the evacuation is withdrawn before it is recorded', async () => {
      fixture.setPhase('waco', 'evacuating');
      await sleep(SETTLE_MS);
      fixture.setPhase('waco', 'inService');
      fixture.replicate();
      await sleep(2 * SETTLE_MS);
      expect((await fixture.run()).kind).to.equal('complete');
      expect(fixture.promoted).to.deep.equal([]);
    });

    it('moves the primary once more when the other data centre is evacuated', async () => {
      fixture.replicate();
      fixture.setPhase('waco', 'evacuating');
      await fixture.awaitPromotions(1);
      expect((await fixture.run()).kind).to.equal('complete');
      fixture.setPhase('waco', 'evacuated');
      fixture.setPhase('waco', 'inService');
      fixture.stepDown('p');
      fixture.replicate();
      await sleep(SETTLE_MS);
      fixture.setPhase('temple', 'evacuating');
      await fixture.awaitPromotions(2);
      expect((await fixture.run()).kind).to.equal('complete');
      expect(['p', 'q']).to.include(fixture.promoted[1]);
    });
  });

  describe('with commits that wait for replicas, and the replica elsewhere behind', () => {
    it('waits for it without limit', async () => {
      await begin({ p: 'waco', q: 'waco', r: 'temple' }, 1);
      await sleep(1_300);
      expect((await fixture.run()).kind).to.equal('complete');
      fixture.setPhase('waco', 'evacuated');
      await sleep(6_000);
      expect(fixture.promoted).to.deep.equal([]);
      await expectAtOnce(fixture.run(), 'busy');
      fixture.replicateTo('r');
      await sleep(SETTLE_MS);
      expect(fixture.promoted).to.deep.equal(['r']);
    });
  });

  it('refuses at once while the endpoint elsewhere is down, and resumes when it is up', async () => {
    await begin({ p: 'waco', q: 'waco', r: 'temple' });
    fixture.replicate();
    fixture.setUnreachable('r', true);
    fixture.setPhase('waco', 'evacuated');
    await sleep(3 * SETTLE_MS);
    await expectAtOnce(fixture.run(), 'busy');
    fixture.setUnreachable('r', false);
    await fixture.awaitPromotions(1);
    await sleep(SETTLE_MS);
    expect((await fixture.run()).kind).to.equal('complete');
  });

  describe('that a new owner of the group finds in its last phase', () => {
    it('has the primary replaced without contact', async () => {
      fixture = createFixture({ p: 'waco', q: 'waco', r: 'temple' }, 0, ['waco']);
      await fixture.awaitPromotions(1);
      await sleep(SETTLE_MS);
      expect((await fixture.run()).kind).to.equal('complete');
      expect(new Set(fixture.contacts.map(({ endpoint }) => endpoint))).to.deep.equal(
        new Set(['r']),
      );
    });

    it('has statements refused at once where nothing can replace the primary', async () => {
      fixture = createFixture({ p: 'waco', q: 'waco' }, 0, ['waco']);
      await expectAtOnce(fixture.run(), 'busy');
      await sleep(SETTLE_MS);
      expect(fixture.contacts).to.deep.equal([]);
    });
  });

  describe('with all endpoints there', () => {
    beforeEach(() => begin({ p: 'waco', q: 'waco' }));

    it('serves until the last phase, and then refuses at once without contact', async () => {
      fixture.setPhase('waco', 'evacuating');
      expect((await fixture.run()).kind).to.equal('complete');
      fixture.setPhase('waco', 'evacuated');
      await expectAtOnce(fixture.run(), 'busy');
      await expectAtOnce(fixture.run({ ...READ, maxAgeMs: 2_000 }), 'busy');
      await expectNoContact('p');
      await expectNoContact('q');
      expect(fixture.events).to.include('group.evacuationBlocked');
    });

    it('serves again after each of two evacuations of the same data centre', async () => {
      for (let count = 0; count < 2; count += 1) {
        fixture.setPhase('waco', 'evacuating');
        fixture.setPhase('waco', 'evacuated');
        await expectAtOnce(fixture.run(), 'busy');
        await expectNoContact('p');
        fixture.setPhase('waco', 'inService');
        expect((await fixture.run()).kind).to.equal('complete');
      }
      expect(fixture.promoted).to.deep.equal([]);
    });

    it('ends open transactions as aborted with the last phase', async () => {
      await fixture.run(OPENING);
      fixture.setPhase('waco', 'evacuating');
      expect((await fixture.run({ transaction: 5 })).kind).to.equal('complete');
      fixture.setPhase('waco', 'evacuated');
      await expectAtOnce(fixture.run(COMMIT), 'aborted');
      expect(fixture.committed).to.have.length(1);
      expect(fixture.contacts.at(-1)?.kind).to.not.equal('rollback');
    });

    it('leaves a commit in doubt that was sent and not answered', async () => {
      await fixture.run(OPENING);
      fixture.addFault('p', 'noAnswer');
      const commit = fixture.run(COMMIT);
      await sleep(50);
      fixture.setPhase('waco', 'evacuated');
      await expectAtOnce(commit, 'inDoubt');
    });

    it('probes an endpoint on return before it is used, and serves by itself', async () => {
      fixture.setPhase('waco', 'evacuated');
      await sleep(SETTLE_MS);
      const before = fixture.contacts.length;
      fixture.setUnreachable('q', true);
      fixture.setPhase('waco', 'inService');
      expect((await fixture.run()).kind).to.equal('complete');
      const later = fixture.contacts.slice(before).filter(({ kind }) => kind !== 'open');
      expect(later[0]).to.deep.equal({ endpoint: 'p', kind: 'status' });
      expect(fixture.promoted).to.deep.equal([]);
      fixture.replicate();
      await Promise.all(Array.from({ length: 6 }, () => fixture.run({ ...READ, maxAgeMs: 2_000 })));
      expect(fixture.runs.filter(({ endpoint }) => endpoint === 'q')).to.deep.equal([]);
    });

    describe('and a warm-up rate', () => {
      const RATE_PER_S = 20;
      const MEASURED_MS = 1_000;
      /** Starts more reads than the rate allows, and counts the requests of the next second. */
      const countRequests = async (): Promise<number> => {
        const before = fixture.contacts.length;
        for (let count = 0; count < 60; count += 1)
          fixture.run({ ...READ, statementTimeoutMs: 2_000 });
        await sleep(MEASURED_MS);
        return fixture.contacts.slice(before).filter(({ kind }) => kind !== 'open').length;
      };
      const returnToService = (): void => {
        fixture.list({}, RATE_PER_S);
        fixture.setPhase('waco', 'evacuated');
        fixture.setPhase('waco', 'inService');
      };

      it('keeps to the rate until an entry is read that calls it warm', async () => {
        returnToService();
        fixture.list({}, RATE_PER_S);
        expect(await countRequests()).to.be.within(10, 1.5 * RATE_PER_S);
        fixture.list({ sequence: 2 }, RATE_PER_S);
        expect(await countRequests()).to.be.above(2 * RATE_PER_S);
      });

      it('keeps to the rate for as long as its entry says that it is cold', async () => {
        returnToService();
        fixture.list({ sequence: 2, warmupLeftMs: 1_200 }, RATE_PER_S);
        expect(await countRequests()).to.be.within(10, 1.5 * RATE_PER_S);
        await sleep(MEASURED_MS);
        expect(await countRequests()).to.be.above(2 * RATE_PER_S);
      });
    });
  });
});
