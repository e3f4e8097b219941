import { runLoad, startFleet, waitFor, type Fleet } from '@auburngrade/testkit';
import { expect } from 'chai';

const LIMIT = { ratePerS: 200, burst: 40 };
const NEAR_FULL_PER_S = 190;
const INSIDE_PER_S = 150;
const WRONGFUL_RATIO = 0.001;
/** Within this time the units of a VM that is gone are back. */
const RETURN_MS = 10_000;
const PHASE_MS = 2_500;

type Report = Awaited<ReturnType<typeof runLoad>>;

const refusedByRate = ({ refused }: Report): number =>
  (refused.rateExceeded ?? 0) + (refused.shareUnavailable ?? 0);

const expectNoWrongfulRefusals = (report: Report): void => {
  const ratio = refusedByRate(report) / report.offered;
  expect(ratio, JSON.stringify(report.refused)).to.be.below(WRONGFUL_RATIO);
};

const expectWithinLimit = (reports: Report[], windowMs: number): void => {
  const admitted = reports.reduce((sum, report) => sum + report.offered - refusedByRate(report), 0);
  const refused = JSON.stringify(reports.map((report) => report.refused));
  const most = LIMIT.burst + (LIMIT.ratePerS * windowMs) / 1_000;
  expect(admitted, refused).to.be.at.most(most);
};

describe('return of the shares of a VM that is gone', () => {
  let fleet: Fleet;
  const keys = new Map<string, string>();
  let all: string[] = [];

  const startWith = async (accounts: string[]): Promise<void> => {
    fleet = await startFleet({ vmsPerDataCentre: 2, hasFaultLinks: true, connectionBudget: 120 });
    all = fleet.names.map(({ vm }) => vm);
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

  /** A VM that holds units of the account, as its keeper or not. */
  const findVm = async (account: string, role: 'keeper' | 'holder'): Promise<string> => {
    for (const vm of all) {
      const { shares } = (await fleet.statusOf(vm)) as {
        shares: Record<string, { role: string; units: number }>;
      };
      const share = shares[account];
      if (share?.role === role && share.units > 0) return vm;
    }
    throw new Error(`no ${role} of ${account}`);
  };

  const dataCentreOf = (vm: string): string => vm.split('-')[0] ?? '';

  const without = (vm: string): string[] => all.filter((other) => other !== vm);

  const startAgain = async (vm: string): Promise<void> => {
    await fleet.start(vm, dataCentreOf(vm));
    await fleet.settle();
  };

  const killAndExpectReturn = async (
    account: string,
    role: 'keeper' | 'holder',
    beforeKill: () => Promise<unknown> = async () => {},
  ): Promise<string> => {
    expectNoWrongfulRefusals(await load(account, all, INSIDE_PER_S));
    const victim = await findVm(account, role);
    await beforeKill();
    await fleet.vms.get(victim)?.kill();
    await load(account, without(victim), INSIDE_PER_S, RETURN_MS);
    expectNoWrongfulRefusals(await load(account, without(victim), NEAR_FULL_PER_S));
    return victim;
  };

  describe('with a VM killed for good', () => {
    before(() => startWith(['held', 'kept', 'outage']));
    after(() => fleet.stop());

    it('serves near the full rate without a holder', async () => {
      await startAgain(await killAndExpectReturn('held', 'holder'));
    });

    it('serves near the full rate without the keeper', async () => {
      await startAgain(await killAndExpectReturn('kept', 'keeper'));
    });

    it('serves near the full rate without a holder while the platform is down', async () => {
      await killAndExpectReturn('outage', 'holder', () => fleet.platform.setFault('isDown', 1));
      await fleet.platform.setFault('isDown', 0);
    });
  });

  describe('with a VM that is paused or cut off', () => {
    before(() => startWith(['paused', 'cut']));
    after(() => fleet.stop());

    it('never gives out what a paused VM may still spend', async () => {
      await load('paused', all, INSIDE_PER_S);
      const victim = await findVm('paused', 'holder');
      const startedAtMs = performance.now();
      fleet.vms.get(victim)?.signal('SIGSTOP');
      const others = await load('paused', without(victim), 1_000, RETURN_MS);
      fleet.vms.get(victim)?.signal('SIGCONT');
      const woken = await load('paused', all, 1_000, PHASE_MS);
      expectWithinLimit([others, woken], performance.now() - startedAtMs);
      // The tokens that the overload used up come back first.
      await load('paused', without(victim), INSIDE_PER_S);
      const returned = await load('paused', without(victim), NEAR_FULL_PER_S);
      expectNoWrongfulRefusals(returned);
    });

    it('serves both sides of a cut data centre for longer than a lease', async () => {
      expectNoWrongfulRefusals(await load('cut', all, INSIDE_PER_S));
      const inside = all.filter((vm) => dataCentreOf(vm) === 'temple');
      const outside = all.filter((vm) => dataCentreOf(vm) !== 'temple');
      const setLinks = (mode: 'cut' | 'pass'): void => {
        inside.forEach((vm) => fleet.link(vm, 'platform').setMode(mode));
        inside.forEach((vm) =>
          outside.forEach((other) => {
            fleet.link(vm, other).setMode(mode);
            fleet.link(other, vm).setMode(mode);
          }),
        );
      };
      setLinks('cut');
      const report = await load('cut', all, INSIDE_PER_S, 8_000);
      setLinks('pass');
      expectNoWrongfulRefusals(report);
      expectWithinLimit([report], report.elapsedMs);
      await waitFor('the whole rate after the cut', async () => {
        const healed = await load('cut', all, NEAR_FULL_PER_S, 500);
        return refusedByRate(healed) === 0;
      });
    });
  });
});
