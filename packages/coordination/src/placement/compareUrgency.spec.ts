import { expect } from 'chai';
import compareUrgency from './compareUrgency';
import type QueuedStatement from './queuedStatement';

const createWork = (changes: Partial<QueuedStatement>): QueuedStatement => ({
  isInTransaction: false,
  arrivedAtMs: 0,
  targetAtMs: 400,
  priority: 1,
  ...changes,
});

describe('compareUrgency', () => {
  it('sorts statements of open transactions first', () => {
    const open = createWork({ isInTransaction: true, targetAtMs: 9_000 });
    expect(compareUrgency(open, createWork({}), 0)).to.be.below(0);
  });

  it('sorts by target, and a priority step as 100 ms of target time', () => {
    expect(compareUrgency(createWork({ targetAtMs: 200 }), createWork({}), 0)).to.be.below(0);
    expect(
      compareUrgency(createWork({ priority: 0 }), createWork({ targetAtMs: 350 }), 0),
    ).to.be.below(0);
  });

  it('sorts statements last that can no longer meet their target', () => {
    expect(compareUrgency(createWork({ targetAtMs: 120 }), createWork({}), 100)).to.be.above(0);
  });

  describe('with the backlog of a two-second outage', () => {
    type Order = (a: QueuedStatement, b: QueuedStatement, nowMs: number) => number;

    /** Simulates one server at 20 ms a statement, arrivals every 25 ms; returns how many met their target. */
    const countServedInTime = (order: Order): number => {
      const arrivals = Array.from({ length: 400 }, (_, index) =>
        createWork({ arrivedAtMs: index * 25, targetAtMs: index * 25 + 400 }),
      );
      let waiting: QueuedStatement[] = [];
      let inTime = 0;
      for (let nowMs = 2_000; nowMs < 10_000; nowMs += 20) {
        const tickAtMs = nowMs;
        waiting.push(
          ...arrivals.filter(
            ({ arrivedAtMs }) =>
              arrivedAtMs <= tickAtMs && (tickAtMs === 2_000 || arrivedAtMs > tickAtMs - 20),
          ),
        );
        waiting.sort((a, b) => order(a, b, tickAtMs));
        const [next, ...rest] = waiting;
        waiting = rest;
        if (next && next.targetAtMs >= tickAtMs + 20) inTime += 1;
      }
      return inTime;
    };

    it('meets over 1.2 times as many targets as first come, first served', () => {
      const firstComeCount = countServedInTime((a, b) => a.arrivedAtMs - b.arrivedAtMs);
      expect(countServedInTime(compareUrgency)).to.be.above(firstComeCount * 1.2);
    });
  });
});
