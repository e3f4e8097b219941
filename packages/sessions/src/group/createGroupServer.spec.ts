import { expect } from 'chai';
import { Action, type GroupCall } from '../generated/auburngrade/session/v1/session';
import createRateLimiter from '../limits/createRateLimiter';
import FailoverCaller from '../seams/failoverCaller';
import type GroupEndpoint from '../seams/groupEndpoint';
import createMemberStandIn from '../standIns/createMemberStandIn';
import createGroupServer from './createGroupServer';

const endpoint = (id: string, claimsPrimary: boolean): GroupEndpoint => ({
  id,
  group: 'lots',
  address: `${id}:1`,
  dataCentre: 'waco',
  slots: 3,
  isLeaving: false,
  claimsPrimary,
  bornAtMs: 1,
});
const ENDPOINTS = [endpoint('p', true), endpoint('r', false), endpoint('s', false)];
const NO_VALUES: ReadonlyMap<string, string> = new Map();

let lastCall = 0;
const call = (changes: Partial<GroupCall>): GroupCall => {
  lastCall += 1;
  return {
    call: lastCall,
    group: 'lots',
    account: 'ranch',
    session: 1,
    valuesVersion: 0,
    hasValues: false,
    values: [],
    requestId: `q${lastCall}`,
    action: Action.ACTION_READ,
    text: 'READ bale',
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
    ...changes,
  };
};
const write = (changes: Partial<GroupCall> = {}): GroupCall =>
  call({ action: Action.ACTION_WRITE, text: 'WRITE bale 1', ...changes });
const commit = (changes: Partial<GroupCall>): GroupCall =>
  call({ action: Action.ACTION_COMMIT, text: 'COMMIT', ...changes });

const pause = (ms: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

const createFixture = (limits = new Map<string, { ratePerS: number; burst: number }>()) => {
  const standIn = createMemberStandIn(ENDPOINTS);
  const promoted: { id: string; fence: number }[] = [];
  const state = {
    isCertain: true,
    mayReplace: true,
    isRecorded: true,
    primary: '',
    term: 0,
    fence: 0,
  };
  class StandInFailover extends FailoverCaller {
    override async promote(...[, id, , fence]: Parameters<FailoverCaller['promote']>) {
      promoted.push({ id, fence });
      setTimeout(() => standIn.promote(id), 20);
      return 'accepted' as const;
    }
  }
  const nowMs = (): number => performance.now();
  const limiter = createRateLimiter(nowMs);
  limiter.setLimits(limits);
  const server = createGroupServer({
    group: 'lots',
    holder: 'vm-1',
    dialer: standIn.dialer,
    failover: new StandInFailover(),
    limiter,
    log: { info: () => undefined, warn: () => undefined },
    nowMs,
    recorded: () => ({ primary: state.primary, term: state.term, fence: state.fence }),
    record: async (next) => {
      if (state.isRecorded) Object.assign(state, next);
      return state.isRecorded;
    },
    mayReplace: () => state.mayReplace,
    isCertain: () => state.isCertain,
    controlAccount: () => 'ranch',
  });
  server.updateEndpoints(ENDPOINTS, 21);
  return {
    ...standIn,
    server,
    state,
    promoted,
    limiter,
    run: (next: GroupCall, values = NO_VALUES, origin = 'vm-2') => server.run(origin, next, values),
  };
};

describe('createGroupServer', () => {
  let fixture: ReturnType<typeof createFixture>;
  beforeEach(() => {
    fixture = createFixture();
  });
  afterEach(() => fixture.server.close());

  describe('with a single statement', () => {
    it('passes rows and signature of the endpoint on', async () => {
      const next = write();
      expect(await fixture.run(next)).to.deep.include({
        kind: 'complete',
        rows: ['row of WRITE bale 1'],
        signature: `p/${next.requestId}`,
      });
    });

    it('takes reads of some age to replicas that hold the position', async () => {
      await fixture.run(write());
      fixture.replicate();
      const results = await Promise.all(
        [1, 2, 3].map(() => fixture.run(call({ maxAgeMs: 2_000 }))),
      );
      expect(results.map(({ kind }) => kind)).to.deep.equal(Array(3).fill('complete'));
      const places = fixture.runs.slice(1).map((run) => run.endpoint);
      expect(places).to.include.oneOf(['r', 's']);
    });

    it('reads the own commit of a session elsewhere when a replica lags', async () => {
      const written = await fixture.run(write());
      const notBefore = written.kind === 'complete' ? written.position : undefined;
      const read = await fixture.run(call({ maxAgeMs: 2_000, notBefore }));
      expect(read.kind).to.equal('complete');
      expect(fixture.runs.at(-1)?.endpoint).to.equal('p');
    });

    it('tries a read elsewhere when its connection breaks', async () => {
      fixture.addFault('p', 'breakBefore');
      expect((await fixture.run(call({}))).kind).to.equal('complete');
    });

    it('sends a read again when its answer is lost, well before its time limit', async () => {
      fixture.addFault('p', 'noAnswer');
      expect((await fixture.run(call({}))).kind).to.equal('complete');
    });

    it('never sends a write again whose answer is lost', async () => {
      fixture.addFault('p', 'breakAfter');
      expect(await fixture.run(write())).to.deep.include({ kind: 'refused', code: 'inDoubt' });
      expect(fixture.committed).to.have.length(1);
    });

    it('sends a write again that the endpoint did not run', async () => {
      fixture.addFault('p', 'busy');
      expect((await fixture.run(write())).kind).to.equal('complete');
      expect(fixture.committed).to.have.length(1);
    });

    it('does not acknowledge a write when another VM may own the group by now', async () => {
      const running = fixture.run(write());
      await pause(0);
      const result = running.then((outcome) => outcome);
      fixture.state.isCertain = false;
      const outcome = await result;
      expect(outcome.kind).to.equal('refused');
    });

    it('refuses as not run while it is not certain, and gives the token back', async () => {
      fixture.state.isCertain = false;
      const before = fixture.limiter.admitted().get('ranch') ?? 0;
      expect(await fixture.run(write())).to.deep.include({ kind: 'refused', code: 'busy' });
      expect(fixture.limiter.admitted().get('ranch')).to.equal(before);
      expect(fixture.runs).to.have.length(0);
    });
  });

  describe('with values and prepared statements of sessions', () => {
    const prepared = { isWrite: false, shape: 'q2', argumentsText: 'bale' };

    it('sets them before the statement, and none of another session', async () => {
      await fixture.run(call({}), new Map([['zone', 'waco']]));
      await fixture.run(call({}), new Map([['tone', 'low']]));
      await fixture.run(call({}));
      expect(fixture.runs.map(({ values }) => values)).to.deep.equal(['zone=waco', 'tone=low', '']);
    });

    it('prepares a statement again where the values of another session were dropped', async () => {
      await fixture.run(call({ prepared, text: '' }), new Map([['zone', 'waco']]));
      await fixture.run(call({ prepared, text: '' }));
      expect(fixture.runs.map(({ text }) => text)).to.deep.equal(['READ q2', 'READ q2']);
    });
  });

  describe('with a transaction', () => {
    const first = { transaction: 5, opensTransaction: true };
    const next = { transaction: 5 };

    it('keeps all of it on one connection, apart from other work', async () => {
      await fixture.run(write(first));
      await fixture.run(call({}));
      await fixture.run(write(next));
      expect((await fixture.run(commit(next))).kind).to.equal('complete');
      const [one, single, two, end] = fixture.runs;
      expect([two?.connection, end?.connection]).to.deep.equal([one?.connection, one?.connection]);
      expect(single?.connection).to.not.equal(one?.connection);
      expect(fixture.committed).to.have.length(2);
    });

    it('says aborted when the connection breaks before the commit', async () => {
      await fixture.run(write(first));
      fixture.addFault('p', 'breakAfter');
      expect(await fixture.run(write(next))).to.deep.include({ code: 'aborted' });
      expect(await fixture.run(commit(next))).to.deep.include({ code: 'aborted' });
      expect(fixture.committed).to.have.length(0);
    });

    it('says in doubt when the answer to the commit is lost', async () => {
      await fixture.run(write(first));
      fixture.addFault('p', 'breakAfter');
      expect(await fixture.run(commit(next))).to.deep.include({ code: 'inDoubt' });
      expect(fixture.committed).to.have.length(1);
    });

    it('ends when it is idle, and when its VM is gone', async () => {
      await fixture.run(write(first));
      await fixture.run(write({ transaction: 6, opensTransaction: true }));
      expect(fixture.server.openTransactions()).to.equal(2);
      await pause(400);
      expect(fixture.server.openTransactions()).to.equal(0);
      await fixture.run(write({ transaction: 7, opensTransaction: true }));
      fixture.server.endOrigin('vm-2');
      expect(fixture.server.openTransactions()).to.equal(0);
      expect(fixture.committed).to.have.length(0);
    });

    it('goes on after the group was given to another VM', async () => {
      await fixture.run(write(first));
      fixture.server.retire();
      expect(await fixture.run(call({}))).to.deep.equal({ kind: 'notOwner' });
      expect((await fixture.run(commit(next))).kind).to.equal('complete');
    });
  });

  describe('over the rate of an account', () => {
    it('refuses at once, says when to come back, and sends nothing', async () => {
      fixture.server.close();
      fixture = createFixture(new Map([['ranch', { ratePerS: 2, burst: 2 }]]));
      const results = await Promise.all([1, 2, 3, 4].map(() => fixture.run(call({}))));
      const refusals = results.filter(({ kind }) => kind === 'refused');
      expect(refusals).to.have.length(2);
      expect(refusals[0]).to.deep.include({ code: 'busy' });
      expect(refusals[0])
        .to.have.property('message')
        .that.matches(/retry in \d+ ms/);
      expect(fixture.runs).to.have.length(2);
    });
  });

  describe('when the primary is lost', () => {
    it('replaces it by the replica that received the most, with a higher fence', async () => {
      await fixture.run(write());
      fixture.replicate();
      fixture.setDark('p', true);
      const results = [];
      for (let attempt = 0; attempt < 8; attempt += 1) {
        results.push(await fixture.run(write()));
      }
      expect(fixture.promoted[0]).to.deep.include({ fence: 1 });
      expect(results.at(-1)?.kind).to.equal('complete');
      expect(fixture.runs.at(-1)?.endpoint).to.equal(fixture.promoted[0]?.id);
    });

    it('does not believe an old primary again that was replaced', async () => {
      Object.assign(fixture.state, { primary: 'r', term: 2, fence: 1, mayReplace: false });
      expect(await fixture.run(write())).to.deep.include({ kind: 'refused', code: 'busy' });
      expect(fixture.committed).to.have.length(0);
    });

    it('replaces none while another owner may still believe in it', async () => {
      fixture.state.mayReplace = false;
      fixture.setDark('p', true);
      await fixture.run(write());
      await fixture.run(write());
      await fixture.run(write());
      expect(fixture.promoted).to.have.length(0);
    });

    it('replaces none when the record went to another VM', async () => {
      fixture.state.isRecorded = false;
      fixture.setDark('p', true);
      await fixture.run(write());
      await fixture.run(write());
      await fixture.run(write());
      expect(fixture.promoted).to.have.length(0);
    });
  });

  describe('while reads wait for the position of a primary that refuses connections', () => {
    it('asks a few times a second', async () => {
      await fixture.run(write());
      fixture.state.mayReplace = false;
      fixture.setDark('p', true);
      const before = fixture.attemptedConnections();
      await fixture.run(call({ maxAgeMs: 200 }));
      expect(fixture.attemptedConnections() - before).to.be.below(12);
    });
  });

  describe('when endpoints leave', () => {
    it('replaces a primary that leaves and cuts no open transaction short', async () => {
      await fixture.run(write({ transaction: 9, opensTransaction: true }));
      fixture.replicate();
      const leaving = ENDPOINTS.map((entry) => ({ ...entry, isLeaving: entry.id === 'p' }));
      fixture.server.updateEndpoints(leaving, 21);
      await pause(150);
      expect((await fixture.run(commit({ transaction: 9 }))).kind).to.equal('complete');
      fixture.replicate();
      await pause(500);
      expect(fixture.promoted).to.have.length(1);
      expect((await fixture.run(write())).kind).to.equal('complete');
    });

    it('keeps one whose entry is missing for a moment', async () => {
      fixture.server.updateEndpoints(ENDPOINTS.slice(1), 21);
      expect((await fixture.run(write())).kind).to.equal('complete');
    });
  });
});
