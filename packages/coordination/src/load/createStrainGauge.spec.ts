import { expect } from 'chai';
import createStrainGauge from './createStrainGauge';

const SAMPLE_MS = 50;

describe('createStrainGauge', () => {
  const observe = (
    gauge: ReturnType<typeof createStrainGauge>,
    latenessMs: number,
    fromMs: number,
    toMs: number,
  ): void => {
    for (let nowMs = fromMs; nowMs < toMs; nowMs += SAMPLE_MS) gauge.observe(latenessMs, nowMs);
  };

  it('is strained within a second of lasting lateness', () => {
    const gauge = createStrainGauge();
    observe(gauge, 40, 0, 1_000);
    expect(gauge.isStrained()).to.equal(true);
  });

  it('is not strained by one late timer', () => {
    const gauge = createStrainGauge();
    observe(gauge, 1, 0, 1_000);
    gauge.observe(100, 1_000);
    expect(gauge.isStrained()).to.equal(false);
  });

  it('is eased only after seconds with time to spare', () => {
    const gauge = createStrainGauge();
    observe(gauge, 40, 0, 1_000);
    observe(gauge, 0, 1_000, 3_000);
    expect(gauge.isStrained()).to.equal(true);
    observe(gauge, 0, 3_000, 6_000);
    expect(gauge.isStrained()).to.equal(false);
  });
});
