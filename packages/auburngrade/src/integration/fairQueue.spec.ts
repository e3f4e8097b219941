import { runLoad, startFleet, type Fleet } from '@auburngrade/testkit';
import { expect } from 'chai';

const ORDER = process.env.POOL_ORDER ?? 'fair';
const STATEMENT_DELAY_MS = 8;
const SMALL_PER_S = 20;
const LARGE_PER_S = 60;
const OVERLOAD_FACTOR = 10;
const PHASE_MS = 6_000;
const MEMBERS = 3;
const WHOLE_RATIO = 0.95;
const P99_FACTOR = 2;
const QUANTILE = 0.99;

type Report = Awaited<ReturnType<typeof runLoad>>;

const p99 = ({ latenciesMs }: Report): number => {
  const sorted = [...latenciesMs].sort((a, b) => a - b);
  return sorted[Math.floor(sorted.length * QUANTILE)] ?? Number.POSITIVE_INFINITY;
};

const describeReport = (report: Report): string =>
  JSON.stringify({ ...report, latenciesMs: undefined, p99Ms: Math.round(p99(report)) });

describe('fair shares of scarce connections', () => {
  let fleet: Fleet;
  const keys = new Map<string, string>();

  before(async () => {
    fleet = await startFleet({ vmSettings: { pools: { order: ORDER } } });
    // The fleet admits more of the large account than the connections can serve.
    const large = { ratePerS: LARGE_PER_S * OVERLOAD_FACTOR, burst: 1_000 };
    await fleet.put('account', 'large', { limit: large });
    await fleet.put('account', 'small', { limit: { ratePerS: 100, burst: 100 } });
    for (const account of ['large', 'small']) {
      keys.set(account, (await fleet.issueKey(account)).key);
    }
    await fleet.put('profile', 'bids', { accounts: ['large', 'small'], groups: ['auctions'] });
    await fleet.settle();
    for (const { name } of fleet.members) {
      await fleet.member(name).tune('statementDelayMs', STATEMENT_DELAY_MS);
    }
  });

  after(() => fleet.stop());

  const load = async (account: string, ratePerS: number): Promise<Report> => {
    const callers = fleet.names.map(({ vm }) => fleet.caller(vm, keys.get(account)));
    const report = await runLoad({
      callers,
      ratePerS,
      durationMs: PHASE_MS,
      profile: 'bids',
      group: 'auctions',
      timeoutMs: 1_000,
    });
    callers.forEach((caller) => caller.close());
    return report;
  };

  describe(`with one account at ${OVERLOAD_FACTOR} times its rate on ${MEMBERS} members`, () => {
    it('serves the other account as if it were nearly alone', async () => {
      const alone = await load('small', SMALL_PER_S);
      const [beside, large] = await Promise.all([
        load('small', SMALL_PER_S),
        load('large', LARGE_PER_S * OVERLOAD_FACTOR),
      ]);
      const seen = `alone ${describeReport(alone)} beside ${describeReport(beside)} large ${describeReport(large)}`;
      process.stderr.write(`${seen}\n`);
      expect(large.ran, seen).to.be.below(large.offered);
      expect(beside.ran, seen).to.be.at.least(WHOLE_RATIO * alone.ran);
      expect(p99(beside), seen).to.be.at.most(P99_FACTOR * p99(alone));
    });
  });
});
