import { startFleet, type Fleet } from '@auburngrade/testkit';

interface MeasuredFleetOptions {
  vms: number;
  /** Data centres among which the VMs are divided: 2, or 1 for one VM. */
  dataCentres?: number;
  /** Further groups share the members of the first, so that processes stay few. */
  groups: number;
  accounts: number;
  vmSettings?: Record<string, unknown>;
}

interface MeasuredFleet {
  fleet: Fleet;
  key: string;
}

const DATA_CENTRES = ['waco', 'temple'];
const LIMIT = { ratePerS: 1_000_000, burst: 1_000_000 };
const CONNECTION_BUDGET = 20;
/** Groups share members, so a member accepts what all its groups may open. */
const MEMBER_CONNECTION_LIMIT = 10_000;
const BATCH = 32;

/** Runs tasks a batch at a time. */
const inBatches = async (count: number, run: (index: number) => Promise<void>): Promise<void> => {
  for (let start = 0; start < count; start += BATCH) {
    const size = Math.min(BATCH, count - start);
    await Promise.all(Array.from({ length: size }, (_, index) => run(start + index)));
  }
};

const putGroups = async (fleet: Fleet, groups: number): Promise<void> => {
  const members = fleet.members.map(({ name, dataCentre, port, replicationPort }) => ({
    name,
    dataCentre,
    host: '127.0.0.1',
    port,
    replicationPort,
  }));
  await inBatches(groups - 1, (index) =>
    fleet.put('group', `group-${index + 1}`, { connectionBudget: CONNECTION_BUDGET, members }),
  );
};

/** Starts a fleet of a given size with its groups, accounts and one profile. */
const startMeasuredFleet = async (options: MeasuredFleetOptions): Promise<MeasuredFleet> => {
  const count = options.dataCentres ?? DATA_CENTRES.length;
  const dataCentres = DATA_CENTRES.slice(0, Math.min(options.vms, count));
  const fleet = await startFleet({
    dataCentres,
    vmsPerDataCentre: Math.ceil(options.vms / dataCentres.length),
    groups: ['group-0'],
    memberConnectionLimit: MEMBER_CONNECTION_LIMIT,
    vmSettings: options.vmSettings ?? {},
  });
  await putGroups(fleet, options.groups);
  await inBatches(options.accounts, (index) =>
    fleet.put('account', `account-${index}`, { limit: LIMIT }),
  );
  const groups = Array.from({ length: options.groups }, (_, index) => `group-${index}`);
  await fleet.put('profile', 'measured', { accounts: ['account-0'], groups });
  const { key } = await fleet.issueKey('account-0');
  await fleet.settle();
  return { fleet, key };
};

export default startMeasuredFleet;
