import { expect } from 'chai';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import createReturnLine from './createReturnLine';
import spreadRetryDelay from './spreadRetryDelay';

const START_INTERVAL_MS = 10;
const LIMIT_MS = 2_000;

const createRandom = (seed: number): (() => number) => {
  const generator = xoroshiro128plus(seed);
  // eslint-disable-next-line no-bitwise -- the generator yields 32-bit integers
  return () => (generator.next() >>> 0) / 0x1_0000_0000;
};

describe('return of refused callers', () => {
  const random = createRandom(7);
  const enterAll = (priorities: readonly number[]): number[] => {
    const line = createReturnLine();
    return priorities.map((priority) => line.enter(priority, START_INTERVAL_MS, 0));
  };
  const countInBusiestWindow = (delaysMs: readonly number[]): number =>
    Math.max(
      ...delaysMs.map((from) => delaysMs.filter((at) => at >= from && at < from + 100).length),
    );

  // Guards against a crowd that is told the same delay, and is refused together again.
  it('spreads 150 callers that are refused at once over the time in which they can be served', () => {
    const delaysMs = enterAll(Array.from({ length: 150 }, () => 1)).map((dueInMs) =>
      spreadRetryDelay({ dueInMs, maxDelayMs: LIMIT_MS }, random),
    );
    expect(countInBusiestWindow(delaysMs)).to.be.below(25);
    expect(Math.max(...delaysMs)).to.be.within(1_300, LIMIT_MS);
  });

  it('spreads those that cannot be served within the limit too', () => {
    const delaysMs = Array.from({ length: 400 }, () =>
      spreadRetryDelay({ dueInMs: 5_000, maxDelayMs: LIMIT_MS }, random),
    );
    expect(countInBusiestWindow(delaysMs)).to.be.below(80);
    expect(Math.max(...delaysMs)).to.be.at.most(LIMIT_MS);
  });

  it('lets more urgent callers return before those that were refused earlier', () => {
    expect(enterAll([1, 1, 1, 0, 0, 1])).to.deep.equal([10, 20, 30, 10, 20, 60]);
  });

  it('asks for at least 50 ms', () => {
    expect(spreadRetryDelay({ dueInMs: 0, maxDelayMs: 20 }, random)).to.equal(50);
  });
});
