import { runLoad, startFleet, waitFor, type Fleet } from '@auburngrade/testkit';
import { expect } from 'chai';

const LIMIT = { ratePerS: 200, burst: 40 };
const MODE = process.env.ADMISSION_MODE ?? 'shares';
const SHORT_LEASE_MS = 3_000;
const LONG_LEASE_MS = 600_000;
const INSIDE_PER_S = 120;
/** The dead VM's third is missing until it starts again. */
const HALF_PER_S = 100;
const WRONGFUL_RATIO = 0.001;
const PHASE_MS = 2_500;

type Report = Awaited<ReturnType<typeof runLoad>>;

const refusedByRate = ({ refused }: Report): number =>
  (refused.rateExceeded ?? 0) + (refused.shareUnavailable ?? 0);

const admitted = (report: Report): number => report.offered - refusedByRate(report);

const expectNoWrongfulRefusals = (report: Report): void => {
  const ratio = refusedByRate(report) / report.offered;
  expect(ratio, JSON.stringify(report.refused)).to.be.below(WRONGFUL_RATIO);
};

describe('rate shares', () => {
  let fleet: Fleet;
  const keys = new Map<string, string>();

  const startWith = async (accounts: string[], shareLeaseMs: number): Promise<void> => {
    fleet = await startFleet({
      hasFaultLinks: true,
      connectionBudget: 120,
      vmSettings: { admission: { mode: MODE, shareLeaseMs } },
    });
    for (const account of accounts) {
      await fleet.put('account', account, { limit: LIMIT });
      keys.set(account, (await fleet.issueKey(account)).key);
    }
    await fleet.put('profile', 'bids', { accounts, groups: ['auctions'] });
    await fleet.settle();
  };

  const load = async (account: string, vms: string[], ratePerS: number, durationMs = PHASE_MS) => {
    const callers = vms.map((vm) => fleet.caller(vm, keys.get(account)));
    const report = await runLoad({
      callers,
      ratePerS,
      durationMs,
      profile: 'bids',
      group: 'auctions',
    });
    callers.forEach((caller) => caller.close());
    return report;
  };

  const ALL = ['waco-1', 'temple-1', 'bryan-1'];

  const cutDataCentre = (vm: string, mode: 'cut' | 'pass'): void => {
    ALL.filter((other) => other !== vm).forEach((other) => {
      fleet.link(vm, other).setMode(mode);
      fleet.link(other, vm).setMode(mode);
    });
    fleet.link(vm, 'platform').setMode(mode);
  };

  describe('with a skewed balancer', () => {
    before(() => startWith(['skewed', 'greedy'], LONG_LEASE_MS));
    after(() => fleet.stop());

    it('gives one VM the whole rate, then another', async () => {
      expectNoWrongfulRefusals(await load('skewed', ['waco-1'], INSIDE_PER_S));
      expectNoWrongfulRefusals(await load('skewed', ['bryan-1'], INSIDE_PER_S));
      expectNoWrongfulRefusals(await load('skewed', ALL, INSIDE_PER_S));
    });

    it('admits no more than burst and rate over all VMs', async () => {
      const report = await load('greedy', ALL, 1_000);
      const most = LIMIT.burst + (LIMIT.ratePerS * report.elapsedMs) / 1_000;
      expect(admitted(report)).to.be.at.most(most);
      expect(admitted(report)).to.be.above(0.8 * LIMIT.ratePerS * (PHASE_MS / 1_000));
    });
  });

  describe('with faults', () => {
    before(() => startWith(['killed', 'cut', 'outage', 'healed'], LONG_LEASE_MS));
    after(() => fleet.stop());

    it('loses nothing while the platform is down, when the traffic moves', async () => {
      expectNoWrongfulRefusals(await load('outage', ALL, INSIDE_PER_S, 1_500));
      await fleet.platform.setFault('isDown', 1);
      const even = await load('outage', ALL, INSIDE_PER_S, 1_500);
      const skewed = await load('outage', ['temple-1'], INSIDE_PER_S, 1_000);
      await fleet.platform.setFault('isDown', 0);
      expectNoWrongfulRefusals(even);
      expectNoWrongfulRefusals(skewed);
    });

    it('serves each side of a cut data centre from its share', async () => {
      expectNoWrongfulRefusals(await load('cut', ALL, INSIDE_PER_S, 2_000));
      cutDataCentre('temple-1', 'cut');
      const report = await load('cut', ALL, INSIDE_PER_S, 2_000);
      const most = LIMIT.burst + (LIMIT.ratePerS * report.elapsedMs) / 1_000;
      cutDataCentre('temple-1', 'pass');
      await waitFor('the cut-off VM serves a new share', async () => {
        const healed = await load('healed', ['temple-1'], 10, 200);
        return refusedByRate(healed) === 0;
      });
      expectNoWrongfulRefusals(report);
      expect(admitted(report)).to.be.at.most(most);
    });

    it('returns the share of a killed VM when it starts again', async () => {
      expectNoWrongfulRefusals(await load('killed', ALL, HALF_PER_S, 2_000));
      await fleet.vms.get('bryan-1')?.kill();
      expectNoWrongfulRefusals(await load('killed', ['waco-1', 'temple-1'], HALF_PER_S, 2_000));
      await fleet.start('bryan-1', 'bryan');
      await waitFor('the whole rate on one VM', async () => {
        const report = await load('killed', ['waco-1'], 0.95 * LIMIT.ratePerS, 500);
        return refusedByRate(report) === 0;
      });
    });
  });

  describe('with a planned stop of the VM that had all the traffic', () => {
    before(() => startWith(['moved', 'shared'], LONG_LEASE_MS));
    after(() => fleet.stop());

    it('gives the others its share at once', async () => {
      expectNoWrongfulRefusals(await load('moved', ['bryan-1'], INSIDE_PER_S, 1_000));
      expectNoWrongfulRefusals(await load('shared', ['bryan-1'], INSIDE_PER_S, 500));
      expectNoWrongfulRefusals(await load('shared', ALL, INSIDE_PER_S, 1_500));
      await fleet.vms.get('bryan-1')?.stop();
      for (const account of ['moved', 'shared']) {
        await waitFor(`the whole rate of ${account}`, async () => {
          const report = await load(account, ['waco-1'], INSIDE_PER_S, 500);
          return refusedByRate(report) === 0;
        });
      }
    });
  });

  describe('with a paused VM and a lease that lapses meanwhile', () => {
    before(() => startWith(['stopped'], SHORT_LEASE_MS));
    after(() => fleet.stop());

    it('does not let a paused VM spend what was granted again', async () => {
      await load('stopped', ALL, INSIDE_PER_S, 1_500);
      const paused = fleet.vms.get('bryan-1');
      paused?.signal('SIGSTOP');
      const startedAtMs = performance.now();
      const others = await load('stopped', ['waco-1', 'temple-1'], 1_000, 5_500);
      paused?.signal('SIGCONT');
      const woken = await load('stopped', ALL, 1_000, 1_500);
      const windowMs = performance.now() - startedAtMs;
      const most = LIMIT.burst + (LIMIT.ratePerS * windowMs) / 1_000;
      const refused = JSON.stringify([others.refused, woken.refused]);
      expect(admitted(others) + admitted(woken), refused).to.be.at.most(most);
    });
  });
});
