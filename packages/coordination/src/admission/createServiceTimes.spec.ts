import { expect } from 'chai';
import createServiceTimes from './createServiceTimes';

const createKnown = (averagesMs: Readonly<Record<string, number>>) => {
  const serviceTimes = createServiceTimes();
  Object.entries(averagesMs).forEach(([id, tookMs]) => {
    for (let nowMs = 0; nowMs < 30; nowMs += 1) serviceTimes.note(id, tookMs, nowMs);
  });
  return serviceTimes;
};
const toEndpoint = (id: string) => ({ id, concurrency: 4 });

describe('createServiceTimes', () => {
  it('adds up endpoints of unequal speed; an unknown one counts as the fastest', () => {
    const serviceTimes = createKnown({ p: 40, r: 80 });
    const endpoints = ['p', 'r', 's'].map(toEndpoint);
    expect(serviceTimes.findStartIntervalMs(endpoints, 30)).to.be.closeTo(4, 0.01);
  });

  // Guards against forecasts from too little or too old knowledge.
  it('knows nothing of a new, a changed or a silent endpoint', () => {
    const serviceTimes = createKnown({ p: 40, r: 40 });
    serviceTimes.forget('r');
    serviceTimes.note('s', 40, 30);
    const findFor = (id: string, nowMs: number) =>
      serviceTimes.findStartIntervalMs([toEndpoint(id)], nowMs);
    expect([
      findFor('p', 30),
      findFor('r', 30),
      findFor('s', 30),
      findFor('p', 1_100),
    ]).to.deep.equal([10, undefined, undefined, undefined]);
  });

  // Guards against wrongful refusals after a pause, which lengthens what was in progress.
  it('is hardly changed by four samples of 5 s, and learns a lasting change', () => {
    const serviceTimes = createKnown({ p: 40 });
    const note = (tookMs: number, count: number): number | undefined => {
      for (let index = 0; index < count; index += 1) serviceTimes.note('p', tookMs, 30);
      return serviceTimes.findStartIntervalMs([toEndpoint('p')], 30);
    };
    expect(note(5_000, 4)).to.be.below(15);
    expect(note(160, 60)).to.be.above(35);
  });
});
