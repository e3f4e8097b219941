import { expect } from 'chai';
import createIsolationDetector from './createIsolationDetector';

const SAMPLE_MS = 100;

describe('createIsolationGauge', () => {
  it('reports a new process as connected during the start-up grace period', () => {
    const gauge = createIsolationDetector(10_000);
    gauge.observe(false, true, 10_000);
    expect(gauge.observe(false, true, 11_400)).to.equal('connected');
    expect(gauge.observe(false, true, 12_000)).to.equal('isolated');
  });

  it('reports a process that starts in a partitioned data centre as isolated', () => {
    expect(createIsolationDetector(10_000).observe(false, false, 10_200)).to.equal('isolated');
  });

  it('stays connected after a single sample without a reachable group', () => {
    const gauge = createIsolationDetector(0);
    gauge.observe(true, true, 5_000);
    expect(gauge.observe(false, true, 5_050)).to.equal('connected');
  });

  it('returns to connected with the first sample that reaches a group', () => {
    const gauge = createIsolationDetector(-5_000);
    gauge.observe(true, true, 0);
    expect(gauge.observe(false, true, 3_000)).to.equal('left');
    expect(gauge.observe(true, true, 3_100)).to.equal('connected');
  });

  describe('with a data centre partitioned for 6 s and 100 callers a second', () => {
    const PARTITION = { fromMs: 5_000, untilMs: 11_000 };

    /** Callers served on other VMs, once the balancer removes this VM after two failed checks. */
    const servedDuringPartition = (isReadyWhileIsolated: boolean): number => {
      const gauge = createIsolationDetector(0);
      let failedChecks = 0;
      let served = 0;
      for (let nowMs = 0; nowMs < PARTITION.untilMs; nowMs += SAMPLE_MS) {
        const isPartitioned = nowMs >= PARTITION.fromMs;
        const state = gauge.observe(!isPartitioned, true, nowMs);
        if (nowMs % 1_000 === 300) {
          failedChecks = state === 'connected' || isReadyWhileIsolated ? 0 : failedChecks + 1;
        }
        if (isPartitioned && failedChecks >= 2) served += SAMPLE_MS / 10;
      }
      return served;
    };

    it('lets other VMs serve over half of the callers, and none if the VM stays ready', () => {
      expect(servedDuringPartition(true)).to.equal(0);
      expect(servedDuringPartition(false)).to.be.above(300);
    });
  });
});
