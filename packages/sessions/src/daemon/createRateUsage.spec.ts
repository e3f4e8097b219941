import { expect } from 'chai';
import createRateLimiter from '../limits/createRateLimiter';
import createRateUsage from './createRateUsage';

const LIMIT = { ratePerS: 10, burst: 40 };

const createFixture = () => {
  const clock = { ms: 0 };
  const nowMs = (): number => clock.ms;
  const limiter = createRateLimiter(nowMs);
  limiter.setLimits(new Map([['ranch', LIMIT]]));
  const usage = createRateUsage(limiter, nowMs);
  const report = (vm: string, admitted: number): void =>
    usage.chargeReport(vm, `${vm}-1`, [{ account: 'ranch', admitted }]);
  return { clock, limiter, usage, report };
};

describe('createRateUsage', () => {
  it('does not charge what others admitted before this VM became a voter', () => {
    const { clock, limiter, usage, report } = createFixture();
    clock.ms = 60_000;
    usage.join();
    ['temple-1', 'bryan-1', 'belton-1'].forEach((vm) => report(vm, 1_000));
    expect(limiter.admit('ranch').isAdmitted).to.equal(true);
  });

  it('gives a VM that becomes a voter late no whole burst', () => {
    const { clock, limiter, usage } = createFixture();
    clock.ms = 60_000;
    limiter.admit('ranch');
    usage.join();
    let admitted = 0;
    while (admitted <= 2 * LIMIT.burst && limiter.admit('ranch').isAdmitted) admitted += 1;
    expect(admitted).to.be.at.most(LIMIT.ratePerS);
  });

  it('charges what a known voter admits from then on', () => {
    const { clock, limiter, usage, report } = createFixture();
    usage.join();
    report('temple-1', 1_000);
    clock.ms = 250;
    report('temple-1', 1_000 + LIMIT.burst + LIMIT.ratePerS);
    expect(limiter.admit('ranch').isAdmitted).to.equal(false);
  });

  it('charges a voter that starts after this one from its first report on', () => {
    const { clock, limiter, usage, report } = createFixture();
    usage.join();
    clock.ms = 20_000;
    report('temple-1', LIMIT.burst + LIMIT.ratePerS);
    expect(limiter.admit('ranch').isAdmitted).to.equal(false);
  });
});
