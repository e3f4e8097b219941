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
  const rejectQuery = () => Promise.reject(new Error('query is not used in this test'));
  return {
    query: rejectQuery,
    runScript: rejectQuery,
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
    if (timeoutMs < CONNECT_MS) throw new Error('connect timed out');
    return createFakeConnection();
  }
}

/** Runs one statement; returns the time left when it got its connection, or the refusal code. */
const runStatement = async (pool: ConnectionPool, account: string, timeoutMs: number) => {
  const deadlineAtMs = nowMs() + timeoutMs;
  try {
    const { release } = await pool.acquire(account, deadlineAtMs);
    const remainingMs = deadlineAtMs - nowMs();
    await sleep(STATEMENT_MS);
    release();
    return { remainingMs };
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

  describe('when overloaded', () => {
    it('gives no connection to a request that could not finish before its deadline', async () => {
      // Lets the pool estimate the account's average statement time.
      for (let count = 0; count < 10; count += 1) await runStatement(pool, 'large', TIMEOUT_MS);
      const requests = Array.from({ length: 40 }, () => runStatement(pool, 'large', TIMEOUT_MS));
      const results = await Promise.all(requests);
      const startedTooLate = results.filter(
        (result) => result.remainingMs !== undefined && result.remainingMs < STATEMENT_MS,
      );
      expect(startedTooLate, JSON.stringify(results)).to.have.length(0);
      expect(results.filter(({ code }) => code === undefined)).to.have.length.above(5);
      expect(results.filter(({ code }) => code === 'noConnection')).to.have.length(0);
    });
  });

  describe('while a connection is opening', () => {
    it('keeps the connection for the next request when the first one times out', async () => {
      const shortRequest = runStatement(pool, 'large', CONNECT_MS / 3);
      const longRequest = runStatement(pool, 'small', TIMEOUT_MS);
      expect((await shortRequest).code).to.equal('queueTimeout');
      expect((await longRequest).code).to.equal(undefined);
      expect(endpoint.connects).to.equal(1);
    });
  });

  describe('when a connection is discarded', () => {
    it('does not charge the account for the time for which its member was unresponsive', async () => {
      const { discard } = await pool.acquire('a', nowMs() + TIMEOUT_MS);
      await sleep(TIMEOUT_MS);
      discard();
      const results = await Promise.all([
        runStatement(pool, 'a', TIMEOUT_MS),
        runStatement(pool, 'a', TIMEOUT_MS),
      ]);
      expect(results.map(({ code }) => code)).to.deep.equal([undefined, undefined]);
    });
  });

  describe('when withdrawn', () => {
    it('refuses queued requests, and ends those that run only when told to', async () => {
      const { connection, release } = await pool.acquire('a', nowMs() + TIMEOUT_MS);
      const waiting = runStatement(pool, 'b', TIMEOUT_MS);
      pool.withdraw(false);
      expect((await waiting).code).to.equal('noConnection');
      expect(connection.isUsable()).to.equal(true);
      pool.withdraw(true);
      expect(connection.isUsable()).to.equal(false);
      release();
    });

    it('closes idle connections and opens new ones afterwards', async () => {
      await runStatement(pool, 'a', TIMEOUT_MS);
      pool.withdraw(false);
      expect(pool.openCount()).to.equal(0);
      expect((await runStatement(pool, 'a', TIMEOUT_MS)).code).to.equal(undefined);
      expect(endpoint.connects).to.equal(2);
    });
  });

  describe('when closed', () => {
    it('refuses queued requests and opens no more connections', async () => {
      const running = runStatement(pool, 'a', TIMEOUT_MS);
      const waiting = runStatement(pool, 'a', TIMEOUT_MS);
      await sleep(CONNECT_MS + STATEMENT_MS / 2);
      pool.close();
      expect((await waiting).code).to.equal('noConnection');
      expect((await running).code).to.equal(undefined);
      expect(endpoint.connects).to.equal(1);
    });

    it('refuses a request that comes later at once, so that it can go to another VM', async () => {
      pool.close();
      const startedAtMs = nowMs();
      expect((await runStatement(pool, 'a', TIMEOUT_MS)).code).to.equal('noConnection');
      expect(nowMs() - startedAtMs).to.be.below(TIMEOUT_MS / 3);
    });
  });
});
