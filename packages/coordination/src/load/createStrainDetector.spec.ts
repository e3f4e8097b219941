import { expect } from 'chai';
import createStrainDetector from './createStrainDetector';

const SAMPLE_MS = 50;

describe('createStrainGauge', () => {
  const observe = (
    gauge: ReturnType<typeof createStrainDetector>,
    lagMs: number,
    fromMs: number,
    toMs: number,
  ): void => {
    for (let nowMs = fromMs; nowMs < toMs; nowMs += SAMPLE_MS) gauge.observe(lagMs, nowMs);
  };

  it('is strained within 1 s of constant event-loop lag', () => {
    const gauge = createStrainDetector();
    observe(gauge, 40, 0, 1_000);
    expect(gauge.isStrained()).to.equal(true);
  });

  it('is not strained by one late timer', () => {
    const gauge = createStrainDetector();
    observe(gauge, 1, 0, 1_000);
    gauge.observe(100, 1_000);
    expect(gauge.isStrained()).to.equal(false);
  });

  it('recovers only after the lag has been low for 3 s', () => {
    const gauge = createStrainDetector();
    observe(gauge, 40, 0, 1_000);
    observe(gauge, 0, 1_000, 3_000);
    expect(gauge.isStrained()).to.equal(true);
    observe(gauge, 0, 3_000, 6_000);
    expect(gauge.isStrained()).to.equal(false);
  });
});
