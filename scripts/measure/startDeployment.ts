import { startFleet, type Fleet } from '@auburngrade/testkit';
import type Deployment from './deployment';
import type MeasuredAccount from './measuredAccount';
import type Variant from './variant';

const GROUPS = ['group-0', 'group-1', 'group-2'];
const LARGE_RATE_PER_S = 60;
const SMALL_RATE_PER_S = 10;
const LARGE_ACCOUNTS = 3;
const ACCOUNTS = 8;
/** Enough for a write in each 200 ms through each of 8 VMs that hold equal parts. */
const PROBE_RATE_PER_S = 80;

interface RunningDeployment {
  fleet: Fleet;
  groups: string[];
  profile: string;
  accounts: MeasuredAccount[];
  /** Measures the failover gap and belongs to no client. */
  probe: MeasuredAccount;
}

/** Starts a deployment with 3 groups, a profile and 8 client accounts, 3 of them large. */
const startDeployment = async (
  deployment: Deployment,
  variant: Variant,
): Promise<RunningDeployment> => {
  const fleet = await startFleet({
    ...deployment,
    groups: GROUPS,
    hasFaultLinks: true,
    vmSettings: variant.vmSettings,
  });
  const names = Array.from({ length: ACCOUNTS }, (_, index) => `account-${index}`);
  const accounts: MeasuredAccount[] = [];
  const createAccount = async (name: string, ratePerS: number): Promise<MeasuredAccount> => {
    await fleet.put('account', name, { limit: { ratePerS, burst: ratePerS } });
    const { key } = await fleet.issueKey(name);
    return { name, key, ratePerS, burst: ratePerS };
  };
  for (const [index, name] of names.entries()) {
    const ratePerS = index < LARGE_ACCOUNTS ? LARGE_RATE_PER_S : SMALL_RATE_PER_S;
    accounts.push(await createAccount(name, ratePerS));
  }
  const probe = await createAccount('probe', PROBE_RATE_PER_S);
  const { freshness } = variant;
  const allowed = [...names, probe.name];
  await fleet.put('profile', 'measured', { accounts: allowed, groups: GROUPS, freshness });
  await fleet.settle();
  return { fleet, groups: GROUPS, profile: 'measured', accounts, probe };
};

export default startDeployment;
