import { expect } from 'chai';
import { Action, type GroupCall } from '../generated/auburngrade/session/v1/session';
import createRateLimiter from '../limits/createRateLimiter';
import FailoverClient from '../seams/failoverClient';
import type GroupEndpoint from '../seams/groupEndpoint';
import createFakeMembers from '../standIns/createFakeMembers';
import createGroupServer from './createGroupServer';
import memberFailureVerdicts from './memberFailureVerdicts';
import sleep from '../time/sleep';

const createEndpoint = (id: string, claimsPrimary: boolean): GroupEndpoint => ({
  id,
  group: 'lots',
  address: `${id}:1`,
  dataCentre: 'waco',
  slots: 3,
  isLeaving: false,
  warmupLeftMs: 0,
  isRegisteredAsPrimary: claimsPrimary,
  startedAtUnixMs: 1,
  sequence: 1,
});
const ENDPOINTS = [
  createEndpoint('p', true),
  createEndpoint('r', false),
  createEndpoint('s', false),
];
const NO_VALUES: ReadonlyMap<string, string> = new Map();

let lastCallNumber = 0;
const createCall = (changes: Partial<GroupCall>): GroupCall => {
  lastCallNumber += 1;
  return {
    call: lastCallNumber,
    group: 'lots',
    account: 'ranch',
    session: 1,
    valuesVersion: 0,
    hasValues: false,
    values: [],
    requestId: `q${lastCallNumber}`,
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
const createWrite = (changes: Partial<GroupCall> = {}): GroupCall =>
  createCall({ action: Action.ACTION_WRITE, text: 'WRITE bale 1', ...changes });
const createCommit = (changes: Partial<GroupCall>): GroupCall =>
  createCall({ action: Action.ACTION_COMMIT, text: 'COMMIT', ...changes });

const createFixture = (limits = new Map<string, { ratePerS: number; burst: number }>()) => {
  const members = createFakeMembers(ENDPOINTS);
  const promotions: { id: string; fence: number }[] = [];
  const ownerState = {
    isCertain: true,
    mayReplace: true,
    isRecorded: true,
    /** Tenure that a handover has just ended. */
    tenureInGrace: 'owner 1' as string | undefined,
    tenure: 'owner 1',
    primary: '',
    term: 0,
    fence: 0,
  };
  class FakeFailoverCaller extends FailoverClient {
    override async promote(
      ...[, id, , fence, mayStillSend]: Parameters<FailoverClient['promote']>
    ) {
      if (!mayStillSend()) return 'notRun' as const;
      promotions.push({ id, fence });
      setTimeout(() => members.promote(id), 20);
      return 'accepted' as const;
    }
  }
  const nowMs = (): number => performance.now();
  const limiter = createRateLimiter(nowMs);
  limiter.setLimits(limits);
  const server = createGroupServer({
    group: 'lots',
    ownerVm: 'vm-1',
    dialer: members.dialer,
    failover: new FakeFailoverCaller(),
    limiter,
    log: { info: () => undefined, warn: () => undefined },
    nowMs,
    storeEra: () => 0,
    getRecordedPrimary: () => ({
      primary: ownerState.primary,
      term: ownerState.term,
      fence: ownerState.fence,
    }),
    record: async (nextRecord) => {
      if (ownerState.isRecorded) Object.assign(ownerState, nextRecord);
      return ownerState.isRecorded;
    },
    syncReplicas: () => 0,
    evacuationPhaseOf: () => 'inService',
    canReplacePrimary: () => ownerState.mayReplace,
    findTenure: () => ownerState.tenure,
    isAuthoritative: () => ownerState.isCertain,
    isInHandoverGrace: (tenure) => tenure === ownerState.tenureInGrace,
    controlAccount: () => 'ranch',
  });
  server.updateEndpoints(ENDPOINTS, 21);
  return {
    ...members,
    server,
    state: ownerState,
    promoted: promotions,
    limiter,
    run: (nextCall: GroupCall, values = NO_VALUES, senderId = 'vm-2') =>
      server.run(senderId, nextCall, values),
  };
};

describe('createGroupServer', () => {
  let fixture: ReturnType<typeof createFixture>;
  beforeEach(() => {
    fixture = createFixture();
  });
  afterEach(() => fixture.server.close());

  describe('with a single statement', () => {
    it('returns the rows and signature of the endpoint', async () => {
      const nextCall = createWrite();
      expect(await fixture.run(nextCall)).to.deep.include({
        kind: 'complete',
        rows: ['row of WRITE bale 1'],
        signature: `p/${nextCall.requestId}`,
      });
    });

    it('sends reads with a maximum age to replicas that hold the required position', async () => {
      await fixture.run(createWrite());
      fixture.replicate();
      const results = await Promise.all(
        [1, 2, 3].map(() => fixture.run(createCall({ maxAgeMs: 2_000 }))),
      );
      expect(results.map(({ kind }) => kind)).to.deep.equal(Array(3).fill('complete'));
      const endpointIds = fixture.runs.slice(1).map((run) => run.endpoint);
      expect(endpointIds).to.include.oneOf(['r', 's']);
    });

    it('reads the commit of its own session from the primary while replicas lag', async () => {
      const writeResult = await fixture.run(createWrite());
      const notBefore = writeResult.kind === 'complete' ? writeResult.position : undefined;
      const readResult = await fixture.run(createCall({ maxAgeMs: 2_000, notBefore }));
      expect(readResult.kind).to.equal('complete');
      expect(fixture.runs.at(-1)?.endpoint).to.equal('p');
    });

    it('retries a read when its connection breaks before it runs', async () => {
      fixture.addFault('p', 'breakBefore');
      expect((await fixture.run(createCall({}))).kind).to.equal('complete');
    });

    it('retries a read within its time limit when the reply is lost', async () => {
      fixture.addFault('p', 'noAnswer');
      expect((await fixture.run(createCall({}))).kind).to.equal('complete');
    });

    it('does not retry a write when its reply is lost, and reports it as in doubt', async () => {
      fixture.addFault('p', 'breakAfter');
      expect(await fixture.run(createWrite())).to.deep.include({
        kind: 'refused',
        code: 'inDoubt',
      });
      expect(fixture.committed).to.have.length(1);
    });

    it('retries a write that the endpoint refused as busy', async () => {
      fixture.addFault('p', 'busy');
      expect((await fixture.run(createWrite())).kind).to.equal('complete');
      expect(fixture.committed).to.have.length(1);
    });

    it('does not acknowledge a write when ownership becomes uncertain while it runs', async () => {
      await fixture.run(createWrite());
      const release = fixture.holdOpening('farm');
      const running = fixture.run(createWrite({ account: 'farm' }));
      await sleep(0);
      fixture.state.isCertain = false;
      release();
      expect(await running).to.deep.include({ kind: 'refused', code: 'inDoubt' });
      expect(fixture.committed).to.have.length(2);
    });

    it('refuses a write as busy and refunds its token while ownership is uncertain', async () => {
      fixture.state.isCertain = false;
      const initialCount = fixture.limiter.admitted().get('ranch') ?? 0;
      expect(await fixture.run(createWrite())).to.deep.include({ kind: 'refused', code: 'busy' });
      expect(fixture.limiter.admitted().get('ranch')).to.equal(initialCount);
      expect(fixture.runs).to.have.length(0);
    });
  });

  describe('with session values and prepared statements', () => {
    const prepared = { isWrite: false, shape: 'q2', argumentsText: 'bale' };

    it('sets values of the session before its statement, and clears those of others', async () => {
      await fixture.run(createCall({}), new Map([['zone', 'waco']]));
      await fixture.run(createCall({}), new Map([['tone', 'low']]));
      await fixture.run(createCall({}));
      expect(fixture.runs.map(({ values }) => values)).to.deep.equal(['zone=waco', 'tone=low', '']);
    });

    it('prepares a statement again after a connection was reset for another session', async () => {
      await fixture.run(createCall({ prepared, text: '' }), new Map([['zone', 'waco']]));
      await fixture.run(createCall({ prepared, text: '' }));
      expect(fixture.runs.map(({ text }) => text)).to.deep.equal(['READ q2', 'READ q2']);
    });
  });

  describe('with a transaction', () => {
    const firstStatement = { transaction: 5, opensTransaction: true };
    const laterStatement = { transaction: 5 };

    it('runs all statements on one connection, which other statements do not use', async () => {
      await fixture.run(createWrite(firstStatement));
      await fixture.run(createCall({}));
      await fixture.run(createWrite(laterStatement));
      expect((await fixture.run(createCommit(laterStatement))).kind).to.equal('complete');
      const [firstRun, singleRun, secondRun, commitRun] = fixture.runs;
      expect([secondRun?.connection, commitRun?.connection]).to.deep.equal([
        firstRun?.connection,
        firstRun?.connection,
      ]);
      expect(singleRun?.connection).to.not.equal(firstRun?.connection);
      expect(fixture.committed).to.have.length(2);
    });

    it('refuses as aborted when the connection breaks before the commit', async () => {
      await fixture.run(createWrite(firstStatement));
      fixture.addFault('p', 'breakAfter');
      expect(await fixture.run(createWrite(laterStatement))).to.deep.include({ code: 'aborted' });
      expect(await fixture.run(createCommit(laterStatement))).to.deep.include({ code: 'aborted' });
      expect(fixture.committed).to.have.length(0);
    });

    it('refuses as aborted a write while ownership is uncertain, and rolls back', async () => {
      await fixture.run(createWrite(firstStatement));
      fixture.state.isCertain = false;
      expect(await fixture.run(createWrite(laterStatement))).to.deep.include({ code: 'aborted' });
      fixture.state.isCertain = true;
      expect(await fixture.run(createCommit(laterStatement))).to.deep.include({ code: 'aborted' });
      expect(fixture.committed).to.have.length(0);
    });

    it('refuses as aborted a commit whose connection ended before it was sent', async () => {
      await fixture.run(createWrite(firstStatement));
      fixture.endConnections('p');
      expect(await fixture.run(createCommit(laterStatement))).to.deep.include({ code: 'aborted' });
      expect(fixture.committed).to.have.length(0);
    });

    it('refuses as in doubt when the reply to the commit is lost', async () => {
      await fixture.run(createWrite(firstStatement));
      fixture.addFault('p', 'breakAfter');
      expect(await fixture.run(createCommit(laterStatement))).to.deep.include({ code: 'inDoubt' });
      expect(fixture.committed).to.have.length(1);
    });

    it('ends on idle timeout, and when the VM that sent it is gone', async () => {
      await fixture.run(createWrite(firstStatement));
      await fixture.run(createWrite({ transaction: 6, opensTransaction: true }));
      expect(fixture.server.countOpenTransactions()).to.equal(2);
      await sleep(400);
      expect(fixture.server.countOpenTransactions()).to.equal(0);
      await fixture.run(createWrite({ transaction: 7, opensTransaction: true }));
      fixture.server.endTransactionsOfSender('vm-2');
      expect(fixture.server.countOpenTransactions()).to.equal(0);
      expect(fixture.committed).to.have.length(0);
    });

    describe('that its VM ends before its first statement ran', () => {
      const opening = createWrite({ ...firstStatement, account: 'farm' });

      it('runs nothing when it waits for a connection', async () => {
        await fixture.run(createWrite());
        const release = fixture.holdOpening('farm');
        const opened = fixture.run(opening);
        await sleep(0);
        fixture.server.endTransaction('vm-2', 5);
        release();
        expect(await opened).to.deep.include({ kind: 'refused', code: 'aborted' });
        expect(fixture.server.countOpenTransactions()).to.equal(0);
        expect(fixture.runs).to.have.length(1);
      });

      it('answers at once when it waits in the queue, also when the VM is gone', async () => {
        fixture.state.isCertain = false;
        const ended = fixture.run(opening);
        const gone = fixture.run(
          createWrite({ ...firstStatement, transaction: 6 }),
          NO_VALUES,
          'x',
        );
        fixture.server.endTransaction('vm-2', 5);
        fixture.server.endTransactionsOfSender('x');
        const answers = Promise.all([ended, gone]);
        const answered = await Promise.race([answers, sleep(50).then(() => 'no answer')]);
        expect(answered).to.be.an('array');
        (await answers).forEach((answer) => expect(answer).to.deep.include({ code: 'aborted' }));
        fixture.state.isCertain = true;
        expect(fixture.server.countQueued()).to.equal(0);
      });
    });

    it('retries its first statement, which the endpoint refused as busy, on the same connection', async () => {
      fixture.addFault('p', 'busy');
      await fixture.run(createWrite(firstStatement));
      // Together longer than a transaction may be idle.
      await sleep(200);
      await fixture.run(createWrite(laterStatement));
      await sleep(200);
      expect((await fixture.run(createCommit(laterStatement))).kind).to.equal('complete');
      expect(new Set(fixture.runs.map(({ connection }) => connection)).size).to.equal(1);
    });

    it('continues after another VM has become the owner of the group', async () => {
      await fixture.run(createWrite(firstStatement));
      fixture.server.startDraining();
      expect(await fixture.run(createCall({}))).to.deep.equal({ kind: 'notOwner' });
      expect((await fixture.run(createCommit(laterStatement))).kind).to.equal('complete');
    });
  });

  describe('when an account is over its rate limit', () => {
    it('refuses at once with a retry delay, and sends nothing to the endpoint', async () => {
      fixture.server.close();
      fixture = createFixture(new Map([['ranch', { ratePerS: 2, burst: 2 }]]));
      const results = await Promise.all([1, 2, 3, 4].map(() => fixture.run(createCall({}))));
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
    it('promotes a replica with a higher fence, and serves writes there', async () => {
      await fixture.run(createWrite());
      fixture.replicate();
      fixture.setUnreachable('p', true);
      const results = [];
      for (let attempt = 0; attempt < 8; attempt += 1) {
        results.push(await fixture.run(createWrite()));
      }
      expect(fixture.promoted[0]).to.deep.include({ fence: 1 });
      expect(results.at(-1)?.kind).to.equal('complete');
      expect(fixture.runs.at(-1)?.endpoint).to.equal(fixture.promoted[0]?.id);
    });

    it('does not accept a primary with a lower term than the recorded one', async () => {
      Object.assign(fixture.state, { primary: 'r', term: 2, fence: 1, mayReplace: false });
      expect(await fixture.run(createWrite())).to.deep.include({ kind: 'refused', code: 'busy' });
      expect(fixture.committed).to.have.length(0);
    });

    it('does not accept another primary in the recorded term than the recorded one', async () => {
      // The one recorded did not know of the term in which the former primary leads.
      fixture.promote('p');
      Object.assign(fixture.state, { primary: 'r', term: 2, fence: 2, mayReplace: false });
      expect(await fixture.run(createWrite())).to.deep.include({ kind: 'refused', code: 'busy' });
      expect(fixture.committed).to.have.length(0);
    });

    it('promotes no replica while an earlier owner may still use the primary', async () => {
      fixture.state.mayReplace = false;
      fixture.setUnreachable('p', true);
      await fixture.run(createWrite());
      await fixture.run(createWrite());
      await fixture.run(createWrite());
      expect(fixture.promoted).to.have.length(0);
    });

    it('promotes no replica when the record belongs to another VM', async () => {
      fixture.state.isRecorded = false;
      fixture.setUnreachable('p', true);
      await fixture.run(createWrite());
      await fixture.run(createWrite());
      await fixture.run(createWrite());
      expect(fixture.promoted).to.have.length(0);
    });
  });

  describe('when a connection to the former primary opens after its replacement', () => {
    it('begins no transaction there', async () => {
      await fixture.run(createWrite());
      fixture.replicate();
      const release = fixture.holdOpening('farm');
      const opening = createWrite({ account: 'farm', transaction: 9, opensTransaction: true });
      const opened = fixture.run({ ...opening, statementTimeoutMs: 4_000 });
      fixture.setUnreachable('p', true);
      await fixture.run(createWrite());
      while (fixture.promoted.length === 0) await sleep(10);
      await sleep(30);
      fixture.setUnreachable('p', false);
      release();
      await opened;
      await fixture.run(createCommit({ account: 'farm', transaction: 9 }));
      const endpoints = fixture.runs.filter(({ account }) => account === 'farm');
      expect(endpoints.map(({ endpoint }) => endpoint)).to.not.include('p');
    });
  });

  describe('when a transaction is still open at the former primary after its replacement', () => {
    it('does not acknowledge its commit', async () => {
      const opening = { transaction: 9, opensTransaction: true, transactionIdleMs: 3_000 };
      await fixture.run(createWrite(opening));
      await fixture.run(createWrite());
      fixture.refuseConnections('p');
      fixture.addFault('p', 'readOnly');
      await fixture.run(createWrite());
      while (fixture.promoted.length === 0) await sleep(10);
      const commit = await fixture.run(createCommit({ transaction: 9 }));
      expect(commit).to.deep.include({ kind: 'refused', code: 'inDoubt' });
    });
  });

  describe('when the group is handed over again before its former primary was doubted', () => {
    it('acknowledges no commit at the former primary', async () => {
      await fixture.run(createWrite({ transaction: 9, opensTransaction: true }));
      Object.assign(fixture.state, { tenure: undefined, tenureInGrace: 'owner 3' });
      fixture.server.startDraining();
      const commit = await fixture.run(createCommit({ transaction: 9 }));
      expect(commit).to.deep.include({ kind: 'refused', code: 'inDoubt' });
    });
  });

  describe('when another VM owned the group and replaced its primary in between', () => {
    beforeEach(async () => {
      await fixture.run(createWrite());
      fixture.replicate();
      fixture.setUnreachable('p', true);
      fixture.promote('r');
      fixture.setUnreachable('p', false);
      Object.assign(fixture.state, { primary: 'r', term: 2, fence: 1, tenure: 'owner 3' });
    });

    it('runs no write at the former primary', async () => {
      await fixture.run(createWrite());
      await fixture.run(createWrite());
      expect(fixture.runs.map(({ endpoint }) => endpoint)).to.deep.equal(['p', 'r', 'r']);
    });

    it('does not believe an answer to a probe of the tenure before', async () => {
      fixture.server.close();
      fixture = createFixture();
      const release = fixture.holdOpening('ranch');
      await sleep(150);
      fixture.setUnreachable('p', true);
      fixture.promote('r');
      fixture.setUnreachable('p', false);
      Object.assign(fixture.state, { primary: 'r', term: 2, fence: 1, tenure: 'owner 3' });
      release();
      await fixture.run(createWrite({ account: 'farm' }));
      expect(fixture.runs.map(({ endpoint }) => endpoint)).to.deep.equal(['r']);
    });

    it('reads no position of the former primary', async () => {
      const read = await fixture.run(createCall({ maxAgeMs: 5_000 }));
      expect(read.kind).to.equal('complete');
      expect(fixture.runs.at(-1)?.endpoint).to.equal('r');
    });
  });

  describe('when the group was handed over and has come back', () => {
    it('acknowledges no commit of the earlier tenure that ends after the grace', async () => {
      await fixture.run(createWrite({ transaction: 9, opensTransaction: true }));
      fixture.server.startDraining();
      Object.assign(fixture.state, { tenure: 'owner 3', tenureInGrace: undefined });
      const commit = await fixture.run(createCommit({ transaction: 9 }));
      expect(commit).to.deep.include({ kind: 'refused', code: 'inDoubt' });
    });
  });

  describe('when reads wait for the position of an unreachable primary', () => {
    it('limits the attempts to connect to it', async () => {
      await fixture.run(createWrite());
      fixture.state.mayReplace = false;
      fixture.setUnreachable('p', true);
      const initialCount = fixture.countConnectionAttempts();
      await fixture.run(createCall({ maxAgeMs: 200 }));
      expect(fixture.countConnectionAttempts() - initialCount).to.be.below(12);
    });
  });

  describe('when it closes', () => {
    it('answers a write whose connection is still being opened at once, as not run', async () => {
      await fixture.run(createWrite());
      const release = fixture.holdOpening('farm');
      const opening = fixture.run(createWrite({ account: 'farm' }));
      const beginning = fixture.run(
        createWrite({ account: 'farm', transaction: 9, opensTransaction: true }),
      );
      await sleep(0);
      fixture.server.close();
      const outcomes = Promise.all([opening, beginning]);
      const answered = await Promise.race([outcomes, sleep(50).then(() => 'no answer')]);
      release();
      expect(answered).to.deep.equal([{ kind: 'notOwner' }, { kind: 'notOwner' }]);
      expect(fixture.committed).to.have.length(1);
    });
  });

  // Guards against a promise that nothing is kept for what the endpoint has committed.
  describe('with each kind of failure that an endpoint reports', () => {
    const KINDS = Object.keys(memberFailureVerdicts) as (keyof typeof memberFailureVerdicts)[];
    const isPromise = (outcome: Awaited<ReturnType<typeof fixture.run>>): boolean =>
      outcome.kind === 'refused' && ['busy', 'aborted'].includes(outcome.code);
    const expectNoFalsePromise = (outcome: Awaited<ReturnType<typeof fixture.run>>): void => {
      expect(outcome.kind).to.equal('refused');
      if (isPromise(outcome)) expect(fixture.committed).to.deep.equal([]);
    };

    KINDS.forEach((kind) => {
      const isNotRun = memberFailureVerdicts[kind] === 'notRun';
      it(`${kind}: ${isNotRun ? 'runs a write again' : 'leaves a write in doubt'}`, async () => {
        fixture.addFault('p', kind);
        const outcome = await fixture.run(createWrite());
        if (isNotRun) expect(outcome.kind).to.equal('complete');
        else expect(outcome).to.include({ kind: 'refused', code: 'inDoubt' });
        expect(fixture.committed).to.have.length(1);
      });

      it(`${kind}: promises nothing for a commit that may be kept`, async () => {
        await fixture.run(createWrite({ transaction: 9, opensTransaction: true }));
        // A commit that did not run as the endpoint was busy is tried again.
        for (let count = 0; count < 10; count += 1) fixture.addFault('p', kind);
        const outcome = await fixture.run(createCommit({ transaction: 9 }));
        expectNoFalsePromise(outcome);
        expect(isPromise(outcome)).to.equal(isNotRun);
      });

      it(`${kind}: promises nothing is kept of a transaction whose first write it answers`, async () => {
        for (let count = 0; count < 10; count += 1) fixture.addFault('p', kind);
        const outcome = await fixture.run(createWrite({ transaction: 9, opensTransaction: true }));
        expectNoFalsePromise(outcome);
        expect(fixture.server.countOpenTransactions()).to.equal(0);
      });
    });

    it('leaves a commit in doubt whose answer does not come', async () => {
      await fixture.run(createWrite({ transaction: 9, opensTransaction: true }));
      fixture.addFault('p', 'noAnswer');
      expect(await fixture.run(createCommit({ transaction: 9 }))).to.include({ code: 'inDoubt' });
    });
  });

  it('refuses at once an account whose name the endpoints cannot be sent', async () => {
    const startedAtMs = performance.now();
    const outcome = await fixture.run(createWrite({ account: 'two words' }));
    expect(outcome).to.include({ kind: 'refused', code: 'malformed' });
    expect(performance.now() - startedAtMs).to.be.below(50);
    expect(fixture.runs).to.deep.equal([]);
  });

  describe('when endpoints leave', () => {
    it('replaces a leaving primary without ending its open transactions', async () => {
      await fixture.run(createWrite({ transaction: 9, opensTransaction: true }));
      fixture.replicate();
      const leaving = ENDPOINTS.map((entry) => ({ ...entry, isLeaving: entry.id === 'p' }));
      fixture.server.updateEndpoints(leaving, 21);
      await sleep(150);
      expect((await fixture.run(createCommit({ transaction: 9 }))).kind).to.equal('complete');
      fixture.replicate();
      await sleep(500);
      expect(fixture.promoted).to.have.length(1);
      expect((await fixture.run(createWrite())).kind).to.equal('complete');
    });

    it('keeps an endpoint whose entry is missing briefly', async () => {
      fixture.server.updateEndpoints(ENDPOINTS.slice(1), 21);
      expect((await fixture.run(createWrite())).kind).to.equal('complete');
    });
  });
});
