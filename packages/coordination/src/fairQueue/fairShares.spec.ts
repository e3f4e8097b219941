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

/** Serves all queued requests one after the other until the accounts' queues run out. */
const serveUntil = (
  requests: Request[],
  weights: Record<string, number>,
  isOver: (servedMs: Map<string, number>) => boolean,
): Map<string, number> => {
  const queue = createFairQueue<Request>(LIMITS, 1);
  const servedMs = new Map<string, number>();
  requests.forEach((request) => {
    queue.offer(request, request.account, weights[request.account] ?? 1, NO_DEADLINE_MS);
  });
  while (!isOver(servedMs)) {
    const turn = queue.next();
    if (!turn) break;
    const { account, serviceMs } = turn.item;
    servedMs.set(account, (servedMs.get(account) ?? 0) + serviceMs);
    queue.end(account, turn.chargedMs, serviceMs);
  }
  return servedMs;
};

describe('fair queue', () => {
  describe('with accounts that always have requests queued', () => {
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
    it('serves it after at most one round', () => {
      const queue = createFairQueue<string>(LIMITS, 1);
      for (let id = 0; id < 1_000; id += 1) queue.offer('large', 'large', 1, NO_DEADLINE_MS);
      queue.offer('small', 'small', 1, NO_DEADLINE_MS);
      const order = Array.from({ length: 5 }, () => {
        const turn = queue.next();
        if (turn) queue.end(turn.account, turn.chargedMs, 5);
        return turn?.item;
      });
      expect(order).to.include('small');
    });
  });

  describe('with an account that was served for long and then had nothing queued', () => {
    it('forgets that service once the others have had as much', () => {
      const queue = createFairQueue<string>(LIMITS, 1);
      const serve = (costMs: number): string | undefined => {
        const turn = queue.next();
        if (turn) queue.end(turn.account, turn.chargedMs, costMs);
        return turn?.account;
      };
      queue.offer('slow', 'small', 1, NO_DEADLINE_MS);
      serve(100);
      for (let id = 0; id < 1_000; id += 1) queue.offer('large', 'large', 1, NO_DEADLINE_MS);
      Array.from({ length: 12 }).forEach(() => serve(10));
      queue.offer('small', 'small', 1, NO_DEADLINE_MS);
      expect([serve(10), serve(10)]).to.include('small');
    });
  });

  describe('at its bounds', () => {
    it('refuses at entry when an account has too many or the wait is too long', () => {
      const queue = createFairQueue<string>({ perAccount: 2, total: 3 }, 1);
      expect(queue.offer('a1', 'a', 1, 1_000)).to.equal(undefined);
      expect(queue.offer('a2', 'a', 1, 1_000)).to.equal(undefined);
      expect(queue.offer('a3', 'a', 1, 1_000)?.code).to.equal('queueFull');
      expect(queue.offer('b1', 'b', 1, 1_000)).to.equal(undefined);
      expect(queue.offer('c1', 'c', 1, 1_000)?.code).to.equal('queueFull');
      const slow = createFairQueue<string>(LIMITS, 1);
      for (let id = 0; id < 10; id += 1) slow.offer(`${id}`, 'a', 1, NO_DEADLINE_MS);
      expect(slow.offer('late', 'a', 1, 20)?.code).to.equal('queueTimeout');
      expect(slow.offer('other', 'b', 1, 20)).to.equal(undefined);
    });

    it('keeps every request until it is served or removed', () => {
      const step = fc.record({ account: fc.constantFrom('a', 'b', 'c'), take: fc.boolean() });
      fc.assert(
        fc.property(fc.array(step, { maxLength: 200 }), (steps) => {
          const queue = createFairQueue<number>(LIMITS, 2);
          const queued = new Set<number>();
          const takeOne = (): void => {
            const turn = queue.next();
            expect(turn === undefined).to.equal(queued.size === 0);
            if (!turn) return;
            expect(queued.delete(turn.item)).to.equal(true);
            queue.end(turn.account, turn.chargedMs, turn.item % 40);
          };
          steps.forEach(({ account, take }, id) => {
            if (take) takeOne();
            else if (!queue.offer(id, account, 1, NO_DEADLINE_MS)) queued.add(id);
          });
          while (queued.size > 0) takeOne();
        }),
      );
    });
  });
});
