import { setTimeout as sleep } from 'node:timers/promises';
import { RefusalError } from '@auburngrade/coordination';
import { Endpoint, type EndpointConnection } from '@auburngrade/endpoint';
import { expect } from 'chai';
import createConnectionPool from './createConnectionPool';
import type ConnectionPool from './connectionPool';

const CONNECT_MS = 30;
const STATEMENT_MS = 20;
const TIMEOUT_MS = 300;

const nowMs = (): number => performance.now();

const createFakeConnection = (): EndpointConnection => {
  let isOpen = true;
  const refuse = () => Promise.reject(new Error('not used'));
  return {
    query: refuse,
    script: refuse,
    isUsable: () => isOpen,
    close: () => {
      isOpen = false;
    },
  };
};

class FakeEndpoint extends Endpoint {
  connects = 0;

  override async connect(timeoutMs: number): Promise<EndpointConnection> {
    this.connects += 1;
    await sleep(Math.min(CONNECT_MS, timeoutMs));
    if (timeoutMs < CONNECT_MS) throw new Error('no connection in time');
    return createFakeConnection();
  }
}

/** Runs one statement; its time that was left when it got the connection, or the refusal's code. */
const serve = async (pool: ConnectionPool, account: string, timeoutMs: number) => {
  const deadlineAtMs = nowMs() + timeoutMs;
  try {
    const { release } = await pool.acquire(account, deadlineAtMs);
    const leftMs = deadlineAtMs - nowMs();
    await sleep(STATEMENT_MS);
    release();
    return { leftMs };
  } catch (error) {
    return { code: error instanceof RefusalError ? error.refusal.code : String(error) };
  }
};

describe('connection pool', () => {
  let endpoint: FakeEndpoint;
  let pool: ConnectionPool;

  beforeEach(() => {
    endpoint = new FakeEndpoint();
    pool = createConnectionPool(endpoint, 1, nowMs);
  });

  describe('with more requests than it can serve', () => {
    it('gives no connection to a request that could not end in time', async () => {
      // The pool learns how long the account's statements take.
      for (let count = 0; count < 10; count += 1) await serve(pool, 'large', TIMEOUT_MS);
      const requests = Array.from({ length: 40 }, () => serve(pool, 'large', TIMEOUT_MS));
      const ends = await Promise.all(requests);
      const late = ends.filter((end) => end.leftMs !== undefined && end.leftMs < STATEMENT_MS);
      expect(late, JSON.stringify(ends)).to.have.length(0);
      expect(ends.filter(({ code }) => code === undefined)).to.have.length.above(5);
      expect(ends.filter(({ code }) => code === 'noConnection')).to.have.length(0);
    });
  });

  describe('while a connection is being opened', () => {
    it('keeps it for the next request when the first one has no time left', async () => {
      const hurried = serve(pool, 'large', CONNECT_MS / 3);
      const patient = serve(pool, 'small', TIMEOUT_MS);
      expect((await hurried).code).to.equal('queueTimeout');
      expect((await patient).code).to.equal(undefined);
      expect(endpoint.connects).to.equal(1);
    });
  });

  describe('when a connection is discarded', () => {
    it('does not refuse the account for the time for which its member was silent', async () => {
      const { discard } = await pool.acquire('a', nowMs() + TIMEOUT_MS);
      await sleep(TIMEOUT_MS);
      discard();
      const ends = await Promise.all([serve(pool, 'a', TIMEOUT_MS), serve(pool, 'a', TIMEOUT_MS)]);
      expect(ends.map(({ code }) => code)).to.deep.equal([undefined, undefined]);
    });
  });

  describe('when it is closed', () => {
    it('refuses what waits and opens nothing more', async () => {
      const running = serve(pool, 'a', TIMEOUT_MS);
      const waiting = serve(pool, 'a', TIMEOUT_MS);
      await sleep(CONNECT_MS + STATEMENT_MS / 2);
      pool.close();
      expect((await waiting).code).to.equal('noConnection');
      expect((await running).code).to.equal(undefined);
      expect(endpoint.connects).to.equal(1);
    });
  });
});
