import { expect } from 'chai';
import compareUrgency from './compareUrgency';
import type WaitingWork from './waitingWork';

const work = (changes: Partial<WaitingWork>): WaitingWork => ({
  isInTransaction: false,
  arrivedAtMs: 0,
  targetAtMs: 400,
  priority: 1,
  ...changes,
});

describe('compareUrgency', () => {
  it('puts open transactions first', () => {
    const open = work({ isInTransaction: true, targetAtMs: 9_000 });
    expect(compareUrgency(open, work({}), 0)).to.be.below(0);
  });

  it('puts the earlier target first, and higher priority a step before', () => {
    expect(compareUrgency(work({ targetAtMs: 200 }), work({}), 0)).to.be.below(0);
    expect(compareUrgency(work({ priority: 0 }), work({ targetAtMs: 350 }), 0)).to.be.below(0);
  });

  it('puts work that is late whatever is done last', () => {
    expect(compareUrgency(work({ targetAtMs: 120 }), work({}), 100)).to.be.above(0);
  });

  describe('with a backlog after an outage of two seconds', () => {
    type Order = (a: WaitingWork, b: WaitingWork, nowMs: number) => number;

    /** One server of 20 ms a statement, arrivals every 25 ms; returns how many ended in time. */
    const servedInTime = (order: Order): number => {
      const arrivals = Array.from({ length: 400 }, (_, index) =>
        work({ arrivedAtMs: index * 25, targetAtMs: index * 25 + 400 }),
      );
      let waiting: WaitingWork[] = [];
      let inTime = 0;
      for (let nowMs = 2_000; nowMs < 10_000; nowMs += 20) {
        const present = nowMs;
        waiting.push(
          ...arrivals.filter(
            ({ arrivedAtMs }) =>
              arrivedAtMs <= present && (present === 2_000 || arrivedAtMs > present - 20),
          ),
        );
        waiting.sort((a, b) => order(a, b, present));
        const [next, ...rest] = waiting;
        waiting = rest;
        if (next && next.targetAtMs >= present + 20) inTime += 1;
      }
      return inTime;
    };

    it('serves far more in time than first come, first served', () => {
      const firstCome = servedInTime((a, b) => a.arrivedAtMs - b.arrivedAtMs);
      expect(servedInTime(compareUrgency)).to.be.above(firstCome * 1.2);
    });
  });
});
