import { expect } from 'chai';
import createIsolationGauge from './createIsolationGauge';

const SAMPLE_MS = 100;

describe('createIsolationGauge', () => {
  it('takes a process for connected until it had time to meet the others', () => {
    const gauge = createIsolationGauge(10_000);
    gauge.observe(false, true, 10_000);
    expect(gauge.observe(false, true, 11_400)).to.equal('connected');
    expect(gauge.observe(false, true, 12_000)).to.equal('isolated');
  });

  it('takes a process that starts in a cut data centre for isolated', () => {
    expect(createIsolationGauge(10_000).observe(false, false, 10_200)).to.equal('isolated');
  });

  it('stays connected over one sample that is late', () => {
    const gauge = createIsolationGauge(0);
    gauge.observe(true, true, 5_000);
    expect(gauge.observe(false, true, 5_050)).to.equal('connected');
  });

  it('is connected again at once', () => {
    const gauge = createIsolationGauge(-5_000);
    gauge.observe(true, true, 0);
    expect(gauge.observe(false, true, 3_000)).to.equal('left');
    expect(gauge.observe(true, true, 3_100)).to.equal('connected');
  });

  describe('under a cut of a data centre for six seconds with callers at 100 a second', () => {
    const CUT = { fromMs: 5_000, untilMs: 11_000 };

    /** Callers that are served: a balancer that takes a VM out after two refusals sends the rest elsewhere. */
    const servedDuringCut = (isReadyWhileIsolated: boolean): number => {
      const gauge = createIsolationGauge(0);
      let refusals = 0;
      let served = 0;
      for (let nowMs = 0; nowMs < CUT.untilMs; nowMs += SAMPLE_MS) {
        const isCut = nowMs >= CUT.fromMs;
        const state = gauge.observe(!isCut, true, nowMs);
        if (nowMs % 1_000 === 300) {
          refusals = state === 'connected' || isReadyWhileIsolated ? 0 : refusals + 1;
        }
        if (isCut && refusals >= 2) served += SAMPLE_MS / 10;
      }
      return served;
    };

    it('lets over half of them be served elsewhere, and none when it stays ready', () => {
      expect(servedDuringCut(true)).to.equal(0);
      expect(servedDuringCut(false)).to.be.above(300);
    });
  });
});
