import { expect } from 'chai';
import fc from 'fast-check';
import compareUrgency from '../placement/compareUrgency';
import createStartForecast from './createStartForecast';

const SERVICE_MS = 20;
const TARGET_MS = 400;
const LIMIT_MS = 1_700;
const REVIEW_INTERVAL_MS = 250;

interface Arrival {
  atMs: number;
  limitMs?: number;
  targetMs?: number;
  priority?: number;
}

const createStatement = ({
  atMs,
  limitMs = LIMIT_MS,
  targetMs = TARGET_MS,
  priority = 1,
}: Arrival) => ({
  isInTransaction: false,
  arrivedAtMs: atMs,
  targetAtMs: atMs + targetMs,
  queueDeadlineMs: atMs + limitMs,
  priority,
});
type Statement = ReturnType<typeof createStatement>;

const arriveEvery = (intervalMs: number, fromMs: number, untilMs: number): Arrival[] =>
  Array.from({ length: Math.floor((untilMs - fromMs) / intervalMs) }, (_, index) => ({
    atMs: fromMs + index * intervalMs,
  }));

/** Whether a statement starts before its deadline when nothing else arrives. */
const startsInTime = (
  statement: Statement,
  others: readonly Statement[],
  startsAtMs: number,
): boolean => {
  let waiting = [...others.filter((other) => other !== statement), statement];
  let nowMs = startsAtMs;
  while (nowMs < statement.queueDeadlineMs) {
    const now = nowMs;
    waiting = waiting
      .filter(({ queueDeadlineMs }) => queueDeadlineMs > now)
      .sort((a, b) => compareUrgency(a, b, now));
    if (waiting.shift() === statement) return true;
    nowMs += SERVICE_MS;
  }
  return false;
};

/** Serves arrivals one after another; returns how many ran and how long each refused one had waited. */
const replay = (arrivals: readonly Arrival[], isForecastUsed: boolean, startsAtMs = 0) => {
  const forecast = createStartForecast();
  let waiting: Statement[] = [];
  const flows = new Map<Statement, ReturnType<typeof forecast.add>>();
  const removeFromForecast = (statement: Statement): void => {
    const flow = flows.get(statement);
    if (flow) forecast.remove(flow, statement.arrivedAtMs);
  };
  const waitsOfRefused: number[] = [];
  const remaining = [...arrivals].sort((a, b) => a.atMs - b.atMs);
  let ran = 0;
  let wrongful = 0;
  let freeAtMs = startsAtMs;
  const lastMs = Math.max(...arrivals.map(({ atMs }) => atMs)) + LIMIT_MS;
  for (let nowMs = 0; nowMs <= lastMs; nowMs += 1) {
    const state = { startIntervalMs: SERVICE_MS, nowMs };
    const expired = waiting.filter(({ queueDeadlineMs }) => queueDeadlineMs <= nowMs);
    waiting = waiting.filter(({ queueDeadlineMs }) => queueDeadlineMs > nowMs);
    expired.forEach((statement) => {
      removeFromForecast(statement);
      waitsOfRefused.push(nowMs - statement.arrivedAtMs);
    });
    while (remaining[0] && remaining[0].atMs <= nowMs) {
      const statement = createStatement(remaining.shift() as Arrival);
      if (isForecastUsed && !forecast.find(statement, { ...state, isArriving: true }).canStart) {
        waitsOfRefused.push(0);
        if (startsInTime(statement, waiting, Math.max(nowMs, freeAtMs))) wrongful += 1;
      } else {
        forecast.noteArrival(statement);
        flows.set(statement, forecast.add(statement));
        waiting.push(statement);
      }
    }
    if (isForecastUsed && nowMs % REVIEW_INTERVAL_MS === 0) {
      const hopeless: Statement[] = [];
      for (const statement of waiting.sort((a, b) => a.arrivedAtMs - b.arrivedAtMs)) {
        if (!forecast.find(statement, { ...state, isArriving: false }).canStart) {
          removeFromForecast(statement);
          const others = waiting.filter((other) => !hopeless.includes(other));
          if (startsInTime(statement, others, Math.max(nowMs, freeAtMs))) wrongful += 1;
          hopeless.push(statement);
        }
      }
      waitsOfRefused.push(...hopeless.map(({ arrivedAtMs }) => state.nowMs - arrivedAtMs));
      waiting = waiting.filter((statement) => !hopeless.includes(statement));
    }
    if (nowMs >= freeAtMs) {
      const now = nowMs;
      waiting.sort((a, b) => compareUrgency(a, b, now));
      const next = waiting.shift();
      if (next) {
        removeFromForecast(next);
        ran += 1;
        freeAtMs = nowMs + SERVICE_MS;
      }
    }
  }
  return { ran, waitsOfRefused, wrongful };
};

const arrivalArbitrary = fc.record({
  atMs: fc.nat(3_000),
  limitMs: fc.constantFrom(200, 900, LIMIT_MS, 4_000),
  targetMs: fc.constantFrom(30, 200, TARGET_MS, 2_000),
  priority: fc.constantFrom(0, 1, 5),
});
const crowdOf = (maxCount: number): fc.Arbitrary<Arrival[]> =>
  fc
    .tuple(arrivalArbitrary, fc.integer({ min: 1, max: maxCount }))
    .map(([one, count]) => Array.from({ length: count }, () => one));

const average = (values: readonly number[]): number =>
  values.reduce((sum, value) => sum + value, 0) / values.length;

describe('createStartForecast', () => {
  // Guards against refusals of which it could have been known at the arrival.
  [2, 3, 6].forEach((overload) => {
    describe(`with ${overload} times as many arrivals as can be served for 8 s, then half as many`, () => {
      const arrivals = [
        ...arriveEvery(SERVICE_MS / overload, 0, 8_000),
        ...arriveEvery(SERVICE_MS * 2, 8_000, 14_000),
      ];

      it('refuses after less than half of the wait, and runs 0.97 as many or more', () => {
        const [before, after] = [replay(arrivals, false), replay(arrivals, true)];
        expect(average(before.waitsOfRefused)).to.be.above(1_600);
        expect(average(after.waitsOfRefused)).to.be.below(average(before.waitsOfRefused) / 2);
        expect(after.ran).to.be.at.least(before.ran * 0.97);
      });
    });
  });

  // Guards against wrongful refusals.
  describe('with crowds of unequal targets, limits and priorities', () => {
    it('refuses nothing that could start if nothing else arrived', () => {
      fc.assert(
        fc.property(fc.array(crowdOf(200), { maxLength: 5 }), (crowds) => {
          expect(replay([...crowds.flat(), { atMs: 0 }], true).wrongful).to.equal(0);
        }),
        { numRuns: 15, seed: 5 },
      );
    });
  });

  // Guards against wrongful refusals: each of these ran without a forecast.
  describe('with a load that can be served', () => {
    it('refuses none of any arrivals that can all be served', () => {
      fc.assert(
        fc.property(fc.array(crowdOf(60), { maxLength: 6 }), (crowds) => {
          const arrivals = [...crowds.flat(), { atMs: 0 }];
          if (replay(arrivals, false).waitsOfRefused.length > 0) return;
          expect(replay(arrivals, true).waitsOfRefused).to.deep.equal([]);
        }),
        { numRuns: 60, seed: 5 },
      );
    });

    it('refuses none of a burst that can be served late', () => {
      const arrivals = Array.from({ length: 80 }, () => ({ atMs: 2_000 }));
      expect(replay(arrivals, true).ran).to.equal(80);
    });

    it('refuses no more than expire without it after an outage of 1 s', () => {
      const arrivals = arriveEvery(25, 0, 6_000);
      expect(replay(arrivals, true, 1_000).ran).to.be.at.least(replay(arrivals, false, 1_000).ran);
    });

    it('refuses none behind many with a shorter limit, which leave before', () => {
      const crowd = Array.from({ length: 300 }, () => ({ atMs: 1_000, limitMs: 200 }));
      expect(replay([...crowd, { atMs: 1_010 }], true).waitsOfRefused).to.have.length(
        replay([...crowd, { atMs: 1_010 }], false).waitsOfRefused.length,
      );
    });
  });
});
