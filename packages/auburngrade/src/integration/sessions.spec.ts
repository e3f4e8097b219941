import { randomUUID } from 'node:crypto';
import { AccessMode, Verdict, type Outcome } from '@auburngrade/caller';
import { startFleet, waitFor, type Fleet } from '@auburngrade/testkit';
import { expect } from 'chai';

const UPSERT =
  'INSERT INTO items (key, value) VALUES ($1, $2) ON CONFLICT (key) DO UPDATE SET value = EXCLUDED.value';
const SELECT = 'SELECT value FROM items WHERE key = $1';
const GROUP = 'auctions';
const SLOW_LAG_MS = 3_000;
const MAX_AGE_MS = 600;

describe('sessions', () => {
  let fleet: Fleet;
  let key: string;

  /** A VM that has just started may still wait for its share of the account's rate. */
  const isServedEverywhere = async (): Promise<boolean> => {
    const outcomes = await Promise.all(
      fleet.names.map(async ({ vm }) => {
        const caller = fleet.caller(vm, key);
        const parameters = [{ text: 'none' }];
        const common = { profile: 'session', group: GROUP, timeoutMs: 2_000 };
        const read = { ...common, accessMode: AccessMode.READ, sql: SELECT, parameters };
        const outcome = await caller.execute(read);
        caller.close();
        return outcome.verdict;
      }),
    );
    return outcomes.every((verdict) => verdict === Verdict.RAN);
  };

  before(async () => {
    fleet = await startFleet({ vmsPerDataCentre: 2, hasFaultLinks: true, connectionBudget: 60 });
    await fleet.put('account', 'ranch', { limit: { ratePerS: 100_000, burst: 100_000 } });
    const common = { accounts: ['ranch'], groups: [GROUP] };
    await fleet.put('profile', 'session', common);
    await fleet.put('profile', 'primary', { ...common, freshness: { kind: 'primary' } });
    const freshness = { kind: 'maxAge', maxAgeMs: MAX_AGE_MS };
    await fleet.put('profile', 'aged', { ...common, freshness });
    ({ key } = await fleet.issueKey('ranch'));
    await fleet.settle();
    await waitFor('a share of the rate on every VM', isServedEverywhere);
  });

  after(async () => {
    await fleet.stop();
  });

  /** A session that roams over the VMs and carries its token along. */
  const openSession = (profile: string) => {
    const callers = fleet.names.map(({ vm }) => ({ vm, caller: fleet.caller(vm, key) }));
    let turn = 0;
    let sessionToken = '';
    const execute = async (sql: string, parameters: string[], isWrite: boolean) => {
      const running = callers.filter(({ vm }) => fleet.vms.has(vm));
      turn += 1;
      const outcome = await running[turn % running.length]!.caller.execute({
        profile,
        group: GROUP,
        accessMode: isWrite ? AccessMode.WRITE : AccessMode.READ,
        sql,
        parameters: parameters.map((text) => ({ text })),
        sessionToken,
        requestId: randomUUID(),
        timeoutMs: 8_000,
      });
      expect(Verdict[outcome.verdict], outcome.refusal?.message).to.equal('RAN');
      sessionToken = outcome.sessionToken;
      return outcome;
    };
    return {
      write: (name: string, value: number) => execute(UPSERT, [name, String(value)], true),
      read: (name: string) => execute(SELECT, [name], false),
      close: () => callers.forEach(({ caller }) => caller.close()),
    };
  };

  const valueOf = (outcome: Outcome): number => Number(outcome.rows?.rows[0]?.cells[0]?.text);

  /** Writes a rising number and reads it back through each VM; gives the endpoints that served. */
  const writeAndReadBack = async (name: string, rounds: number): Promise<Outcome[]> => {
    const session = openSession('session');
    const reads: Outcome[] = [];
    for (let value = 1; value <= rounds; value += 1) {
      await session.write(name, value);
      for (let index = 0; index < fleet.names.length; index += 1) {
        const read = await session.read(name);
        expect(valueOf(read)).to.equal(value);
        reads.push(read);
      }
    }
    session.close();
    return reads;
  };

  const isFromReplica = (outcome: Outcome): boolean => outcome.servedBy?.role === 'replica';

  describe('with a replica that lags', () => {
    before(() => fleet.member(`${GROUP}-m3`).tune('replicationLagMs', SLOW_LAG_MS));

    after(() => fleet.member(`${GROUP}-m3`).tune('replicationLagMs', 1));

    it('read their own writes through every VM, and from the other replica', async () => {
      const reads = await writeAndReadBack('own', 5);
      const endpoints = new Set(reads.map(({ servedBy }) => servedBy?.endpoint));
      expect(endpoints).to.not.include(`${GROUP}-m3`);
      expect(reads.filter(isFromReplica).length / reads.length).to.be.at.least(0.9);
    });
  });

  describe('whose profile allows an age', () => {
    it('never read what is older, while replicas lag', async () => {
      await Promise.all(
        [`${GROUP}-m2`, `${GROUP}-m3`].map((name) =>
          fleet.member(name).tune('replicationLagMs', 200),
        ),
      );
      const writer = openSession('session');
      const written: { value: number; atMs: number }[] = [];
      let isOver = false;
      const writing = (async () => {
        for (let value = 1; !isOver; value += 1) {
          await writer.write('aged', value);
          written.push({ value, atMs: performance.now() });
        }
      })();
      await waitFor('writes', () => written.length >= 5);
      const reads: Outcome[] = [];
      const session = openSession('aged');
      while (reads.length < 600) {
        const sentAtMs = performance.now();
        const read = await session.read('aged');
        reads.push(read);
        const known = written.filter(({ atMs }) => atMs <= sentAtMs - MAX_AGE_MS);
        expect(valueOf(read)).to.be.at.least(known.at(-1)?.value ?? 0);
      }
      session.close();
      isOver = true;
      await writing;
      writer.close();
      await Promise.all(
        [`${GROUP}-m2`, `${GROUP}-m3`].map((name) =>
          fleet.member(name).tune('replicationLagMs', 1),
        ),
      );
      expect(reads.filter(isFromReplica).length / reads.length).to.be.at.least(0.99);
    });
  });

  describe('whose profile asks for the primary', () => {
    it('are served by it', async () => {
      const session = openSession('primary');
      await session.write('strict', 1);
      const read = await session.read('strict');
      expect([valueOf(read), read.servedBy?.role]).to.deep.equal([1, 'primary']);
      session.close();
    });
  });

  describe('over links that go silent for good', () => {
    it('go on over new connections', async () => {
      for (const { vm } of fleet.names) {
        for (const { name } of fleet.members) fleet.link(vm, name).silenceOpenConnections();
        for (const other of fleet.names.filter((candidate) => candidate.vm !== vm)) {
          fleet.link(vm, other.vm).silenceOpenConnections();
        }
      }
      await writeAndReadBack('silent', 2);
    });
  });

  describe('after the primary was killed and a VM too', () => {
    it('read what they wrote before and after', async () => {
      const session = openSession('session');
      await session.write('survivor', 1);
      await fleet.vms.get(fleet.names[0]!.vm)?.kill();
      fleet.vms.delete(fleet.names[0]!.vm);
      await fleet.member(`${GROUP}-m1`).kill();
      expect(valueOf(await session.read('survivor'))).to.equal(1);
      await session.write('survivor', 2);
      for (let index = 0; index < fleet.names.length; index += 1) {
        expect(valueOf(await session.read('survivor'))).to.equal(2);
      }
      session.close();
    });
  });
});
