import { expect } from 'chai';
import fc from 'fast-check';
import createFairQueue from './createFairQueue';

interface Request {
  id: number;
  account: string;
  serviceMs: number;
}

const LIMITS = { perAccount: 10_000, total: 20_000 };
const NO_DEADLINE_MS = Number.POSITIVE_INFINITY;

/** Serves queued requests one after the other until `isDone` or no request is left. */
const serveUntil = (
  requests: Request[],
  weights: Record<string, number>,
  isDone: (servedMs: Map<string, number>) => boolean,
): Map<string, number> => {
  const queue = createFairQueue<Request>(LIMITS, 1);
  const servedMs = new Map<string, number>();
  requests.forEach((request) => {
    queue.enqueue(request, request.account, weights[request.account] ?? 1, NO_DEADLINE_MS);
  });
  while (!isDone(servedMs)) {
    const turn = queue.dequeue();
    if (!turn) break;
    const { account, serviceMs } = turn.item;
    servedMs.set(account, (servedMs.get(account) ?? 0) + serviceMs);
    queue.end(account, turn.chargedMs, serviceMs);
  }
  return servedMs;
};

describe('createFairQueue', () => {
  describe('with accounts that are always backlogged', () => {
    it('divides the service time by weight, whatever the requests cost', () => {
      const costs = fc.record({
        small: fc.double({ min: 0.5, max: 30, noNaN: true }),
        large: fc.double({ min: 0.5, max: 30, noNaN: true }),
        weight: fc.integer({ min: 1, max: 5 }),
      });
      fc.assert(
        fc.property(costs, ({ small, large, weight }) => {
          const requests = Array.from({ length: 8_000 }, (_, id) => ({
            id,
            account: id % 2 === 0 ? 'small' : 'large',
            serviceMs: id % 2 === 0 ? small : large,
          }));
          const served = serveUntil(requests, { small: weight, large: 1 }, (servedMs) => {
            const total = [...servedMs.values()].reduce((sum, ms) => sum + ms, 0);
            return total > 1_900;
          });
          const smallMs = served.get('small') ?? 0;
          const largeMs = served.get('large') ?? 0;
          const slackMs = 2 * (small + large) + 60;
          expect(Math.abs(smallMs / weight - largeMs)).to.be.below(slackMs);
        }),
        { numRuns: 100 },
      );
    });
  });

  describe('with one request behind many of another account', () => {
    it('serves the single request among the next five', () => {
      const queue = createFairQueue<string>(LIMITS, 1);
      for (let id = 0; id < 1_000; id += 1) queue.enqueue('large', 'large', 1, NO_DEADLINE_MS);
      queue.enqueue('small', 'small', 1, NO_DEADLINE_MS);
      const order = Array.from({ length: 5 }, () => {
        const turn = queue.dequeue();
        if (turn) queue.end(turn.account, turn.chargedMs, 5);
        return turn?.item;
      });
      expect(order).to.include('small');
    });
  });

  describe('with an account that was idle after much service', () => {
    it('ignores that service once the other accounts have received as much', () => {
      const queue = createFairQueue<string>(LIMITS, 1);
      const serve = (costMs: number): string | undefined => {
        const turn = queue.dequeue();
        if (turn) queue.end(turn.account, turn.chargedMs, costMs);
        return turn?.account;
      };
      queue.enqueue('slow', 'small', 1, NO_DEADLINE_MS);
      serve(100);
      for (let id = 0; id < 1_000; id += 1) queue.enqueue('large', 'large', 1, NO_DEADLINE_MS);
      Array.from({ length: 12 }).forEach(() => serve(10));
      queue.enqueue('small', 'small', 1, NO_DEADLINE_MS);
      expect([serve(10), serve(10)]).to.include('small');
    });
  });

  describe('at its limits', () => {
    it('refuses a request if the queue is full or the expected wait exceeds the deadline', () => {
      const queue = createFairQueue<string>({ perAccount: 2, total: 3 }, 1);
      expect(queue.enqueue('a1', 'a', 1, 1_000)).to.equal(undefined);
      expect(queue.enqueue('a2', 'a', 1, 1_000)).to.equal(undefined);
      expect(queue.enqueue('a3', 'a', 1, 1_000)?.code).to.equal('queueFull');
      expect(queue.enqueue('b1', 'b', 1, 1_000)).to.equal(undefined);
      expect(queue.enqueue('c1', 'c', 1, 1_000)?.code).to.equal('queueFull');
      const slow = createFairQueue<string>(LIMITS, 1);
      for (let id = 0; id < 10; id += 1) slow.enqueue(`${id}`, 'a', 1, NO_DEADLINE_MS);
      expect(slow.enqueue('late', 'a', 1, 20)?.code).to.equal('queueTimeout');
      expect(slow.enqueue('other', 'b', 1, 20)).to.equal(undefined);
    });

    it('keeps every queued request until it is served', () => {
      const step = fc.record({ account: fc.constantFrom('a', 'b', 'c'), take: fc.boolean() });
      fc.assert(
        fc.property(fc.array(step, { maxLength: 200 }), (steps) => {
          const queue = createFairQueue<number>(LIMITS, 2);
          const queued = new Set<number>();
          const takeOne = (): void => {
            const turn = queue.dequeue();
            expect(turn === undefined).to.equal(queued.size === 0);
            if (!turn) return;
            expect(queued.delete(turn.item)).to.equal(true);
            queue.end(turn.account, turn.chargedMs, turn.item % 40);
          };
          steps.forEach(({ account, take }, id) => {
            if (take) takeOne();
            else if (!queue.enqueue(id, account, 1, NO_DEADLINE_MS)) queued.add(id);
          });
          while (queued.size > 0) takeOne();
        }),
      );
    });
  });
});
